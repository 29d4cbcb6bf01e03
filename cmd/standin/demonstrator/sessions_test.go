package demonstrator

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"lagoonstile"
	"lagoonstile/answerer"
	"lagoonstile/cmd/standin/emulator"
	"lagoonstile/loader"
)

// TestOperatorSession goes through every command of the operator's tool.
func TestOperatorSession(t *testing.T) {
	s := newSession(t, 2, nil)
	s.say("a mistake is told before anything is published")
	s.file("wrong.toml", "[[rule]]\nservice = \"stock\"\nrank = \"urgent\"\n")
	s.ctl("check", "--inventory", "inventory.toml", "--rules", "wrong.toml")
	s.ctl("check", "--inventory", "none.toml", "--rules", "rules.toml")
	s.ctl("check", "--inventory", "inventory.toml", "--rules", "rules.toml")
	s.ctl("publish", "--rules", "rules.toml")
	s.ctl("melt")
	s.say("the first publication")
	s.ctl("diff", "--inventory", "inventory.toml", "--rules", "rules.toml")
	s.publish()
	s.awaitCell()
	s.say("nothing to change")
	s.publish()
	s.say("a server less, a deadline more")
	s.file("inventory.toml", s.fleet.Inventory("stock-2"))
	s.file("rules.toml", strings.Replace(sessionRules, `"2s"`, `"3s"`, 1))
	s.ctl("diff", "--inventory", "inventory.toml", "--rules", "rules.toml")
	s.publish()
	s.ctl("status")
	s.ctl("entry", s.fleet.Instances()[0].CallerAddress(), "orders")
	s.ctl("entry", s.fleet.Instances()[0].CallerAddress(), "none")
	s.say("the audit trail")
	s.await("audit written", func() bool {
		return s.fleet.Instances()[0].Status().AuditWaiting == 0 && s.fleet.Instances()[1].Status().AuditWaiting == 0
	})
	s.ctl("audit", "--kind", "in-force", "--instance", "proxy-1")
	s.say("nobody there")
	s.ctl("status", "127.0.0.1:1")
	s.fleet.Platform.Log.SetFaults(emulator.LogFaults{Down: true})
	s.ctl("--timeout", "5s", "diff", "--inventory", "inventory.toml", "--rules", "rules.toml")
	s.end("operator")
}

// TestCallerSession asks for one answer of each kind that a healthy fleet gives.
func TestCallerSession(t *testing.T) {
	s := newSession(t, 2, nil)
	first, second := s.fleet.Instances()[0], s.fleet.Instances()[1]
	s.say("before the first configuration")
	s.ask(first, http.MethodGet, "/stock/7", nil)
	s.ask(first, http.MethodPost, "/orders/1", key(first, "early"))
	s.publish()
	s.awaitCell()
	s.say("lookups")
	s.ask(first, http.MethodGet, "/stock/7", nil)
	s.ask(first, http.MethodGet, "/anything", map[string]string{lagoonstile.HeaderService: "stock"})
	s.ask(first, http.MethodGet, "/nothing", nil)
	s.ask(first, http.MethodGet, "/stock/7", map[string]string{lagoonstile.HeaderDeadline: "never"})
	s.say("orders")
	s.ask(first, http.MethodPost, "/orders/1", nil)
	s.ask(first, http.MethodPost, "/orders/1", map[string]string{lagoonstile.HeaderKey: "4711"})
	s.ask(first, http.MethodPost, "/orders/1", key(first, "a"))
	s.say("the same order again, here and through the other instance")
	s.ask(first, http.MethodPost, "/orders/1", key(first, "a"))
	s.ask(second, http.MethodPost, "/orders/1", key(first, "a"))
	s.say("an order that the other instance has the home of")
	s.ask(second, http.MethodPost, "/orders/2", key(first, "b"))
	s.say("another order with a used key")
	s.ask(first, http.MethodPost, "/orders/3", key(first, "a"))
	s.say("a home that nobody knows")
	s.ask(first, http.MethodPost, "/orders/4", map[string]string{lagoonstile.HeaderKey: "proxy-9.00000000.1.c"})
	s.say("a refusal is final for its key")
	for _, id := range []lagoonstile.ServerID{"order-1", "order-2", "order-3"} {
		s.fleet.Server(id).Stop()
	}
	s.ask(first, http.MethodPost, "/orders/5", key(first, "d"))
	for id, server := range s.fleet.servers {
		if strings.HasPrefix(string(id), "order-") {
			if err := server.Start(server.Address()); err != nil {
				t.Fatal(err)
			}
		}
	}
	s.ask(first, http.MethodPost, "/orders/5", key(first, "d"))
	if runs := s.fleet.Ledger.Runs(key(first, "d")[lagoonstile.HeaderKey]); runs != 0 {
		t.Errorf("an order that was told not-run ran %d times", runs)
	}
	s.end("caller")
}

// TestLogSession takes the log away, loses its answers and lets records expire.
func TestLogSession(t *testing.T) {
	s := newSession(t, 2, nil)
	log := s.fleet.Platform.Log
	s.publish()
	s.awaitCell()
	s.say("the log is down: what is in force stays, and a new instance starts from its peers")
	log.SetFaults(emulator.LogFaults{Down: true})
	added, err := s.fleet.AddInstance()
	if err != nil {
		t.Fatal(err)
	}
	s.nameInstance(added)
	s.await("the new instance has a configuration", func() bool { return added.Status().Version == 1 })
	s.ask(added, http.MethodGet, "/stock/7", nil)
	s.file("rules.toml", strings.Replace(sessionRules, `"2s"`, `"3s"`, 1))
	s.ctl("--timeout", "500ms", "publish", "--inventory", "inventory.toml", "--rules", "rules.toml")
	s.say("appends take effect and their answers are lost: the change is found in the stream")
	log.SetFaults(emulator.LogFaults{LoseAppendAnswers: true})
	s.publish()
	s.say("two operators at the same moment: the log's order decides")
	log.SetFaults(emulator.LogFaults{})
	s.race()
	s.end("log")
}

// race publishes two changes that were made from the same version.
func (s *session) race() {
	fleet := s.fleet.Operator()
	fold, err := fleet.Current(context.Background())
	if err != nil {
		s.t.Fatal(err)
	}
	s.file("rules.toml", strings.Replace(sessionRules, `"2s"`, `"4s"`, 1))
	s.publish()
	late := *fold.Configuration().Services["stock"]
	late.Deadline = time.Minute
	change := &lagoonstile.Change{ID: "late", Base: fold.Configuration().Version, Author: "anna", Set: []*lagoonstile.Service{&late}}
	publication, err := fleet.Append(context.Background(), fold, change)
	_, _ = fmt.Fprintf(&s.text, "late change: %v; made version %d\n", err, publication.Winner.Version)
	if s.fleet.Instances()[0].Status().Version != publication.Winner.Version {
		s.t.Error("the version in force is not the winner's")
	}
}

// TestFaultSession makes servers fail in each gray way that the brief names and
// shows what callers see.
func TestFaultSession(t *testing.T) {
	s := newSession(t, 2, nil)
	first := s.fleet.Instances()[0]
	s.publish()
	s.awaitCell()
	faults := []struct {
		text   string
		faults emulator.ServerFaults
	}{
		{"one server fails all real work", emulator.ServerFaults{Mode: emulator.ModeErrors}},
		{"one server breaks its answers off", emulator.ServerFaults{Mode: emulator.ModeTruncate}},
	}
	for _, fault := range faults {
		s.say("%s: lookups are answered by the others", fault.text)
		s.fleet.Server("stock-1").SetFaults(fault.faults)
		for i := range 4 {
			s.ask(first, http.MethodGet, fmt.Sprint("/stock/", i), nil)
		}
		s.fleet.Server("stock-1").SetFaults(emulator.ServerFaults{})
	}
	s.say("answers of orders get lost on the way: the outcome is unknown, and stays so")
	for _, id := range []lagoonstile.ServerID{"order-1", "order-2", "order-3"} {
		s.fleet.Server(id).SetFaults(emulator.ServerFaults{Mode: emulator.ModeMute})
	}
	lost := key(first, "lost")
	lost[lagoonstile.HeaderDeadline] = "300"
	s.ask(first, http.MethodPost, "/orders/1", lost)
	s.ask(first, http.MethodPost, "/orders/1", lost)
	if runs := s.fleet.Ledger.Runs(lost[lagoonstile.HeaderKey]); runs != 1 {
		t.Errorf("the order ran %d times, want 1", runs)
	}
	for _, id := range []lagoonstile.ServerID{"order-1", "order-2", "order-3"} {
		s.fleet.Server(id).SetFaults(emulator.ServerFaults{})
	}
	s.say("all servers of a service fail: their own words are passed on, and the floor holds")
	for _, id := range []lagoonstile.ServerID{"stock-1", "stock-2", "stock-3"} {
		s.fleet.Server(id).SetFaults(emulator.ServerFaults{Mode: emulator.ModeErrors})
	}
	for i := range 40 {
		res, err := http.Get(fmt.Sprintf("http://%s/stock/all-%d", first.CallerAddress(), i))
		if err != nil {
			t.Fatal(err)
		}
		_ = res.Body.Close()
	}
	s.ask(first, http.MethodGet, "/stock/last", nil)
	s.checkFloor()
	s.end("faults")
}

// checkFloor looks at every service of every instance.
func (s *session) checkFloor() {
	for _, instance := range s.fleet.Instances() {
		for _, service := range instance.Status().Services {
			if service.InUse < service.Floor {
				s.t.Errorf("%s uses %d servers of %s, floor %d", instance.Identity().Instance, service.InUse, service.Service, service.Floor)
			}
		}
	}
}

// TestPoisonSession sends a request that crashes servers through changing
// instances.
func TestPoisonSession(t *testing.T) {
	s := newSession(t, 2, nil)
	first, second := s.fleet.Instances()[0], s.fleet.Instances()[1]
	s.publish()
	s.awaitCell()
	crashed := func() int {
		n := 0
		for _, id := range []lagoonstile.ServerID{"stock-1", "stock-2", "stock-3"} {
			if !s.fleet.Server(id).Running() {
				n++
			}
		}
		return n
	}
	for _, id := range []lagoonstile.ServerID{"stock-1", "stock-2", "stock-3"} {
		s.fleet.Server(id).SetFaults(emulator.ServerFaults{CrashOn: "/poison"})
	}
	s.say("a request crashes two servers, and runs no more")
	s.ask(first, http.MethodGet, "/stock/poison", nil)
	s.ask(first, http.MethodGet, "/stock/poison", nil)
	s.await("the other instance knows", func() bool {
		res, err := http.Get("http://" + second.CallerAddress() + "/stock/innocent")
		if err == nil {
			_ = res.Body.Close()
		}
		return second.Quarantined() == 1
	})
	s.ask(second, http.MethodGet, "/stock/poison", nil)
	s.say("others are answered by the server that is left")
	s.ask(second, http.MethodGet, "/stock/7", nil)
	if n := crashed(); n != 2 {
		t.Errorf("%d servers crashed, want 2", n)
	}
	s.end("poison")
}

// TestLeavingSession lets servers and instances leave gracefully.
func TestLeavingSession(t *testing.T) {
	s := newSession(t, 3, nil)
	first, second := s.fleet.Instances()[0], s.fleet.Instances()[1]
	s.publish()
	s.awaitCell()
	s.say("a server drains: the one request that finds out is tried elsewhere")
	s.fleet.Server("stock-1").Drain()
	for i := range 12 {
		s.ask(first, http.MethodGet, fmt.Sprint("/stock/", i), nil)
	}
	s.say("an instance leaves: its orders' keys go to a successor")
	kept := key(first, "kept")
	fresh := key(first, "fresh")
	s.ask(first, http.MethodPost, "/orders/1", kept)
	if err := s.fleet.Drain(context.Background(), first); err != nil {
		t.Fatal(err)
	}
	s.say("a resend gets the kept answer, and a late first send runs once")
	s.ask(second, http.MethodPost, "/orders/1", kept)
	s.ask(second, http.MethodPost, "/orders/2", fresh)
	s.ask(second, http.MethodPost, "/orders/2", fresh)
	for _, k := range []map[string]string{kept, fresh} {
		if runs := s.fleet.Ledger.Runs(k[lagoonstile.HeaderKey]); runs != 1 {
			t.Errorf("%s ran %d times, want 1", k[lagoonstile.HeaderKey], runs)
		}
	}
	s.say("an instance crashes: what its keys became cannot be known")
	crashed := key(second, "crashed")
	s.ask(second, http.MethodPost, "/orders/3", crashed)
	s.fleet.Crash(second)
	s.ask(s.fleet.Instances()[0], http.MethodPost, "/orders/3", crashed)
	s.end("leaving")
}

// TestKindsAreProduced looks for every kind in a golden file or another test.
func TestKindsAreProduced(t *testing.T) {
	// Kinds that no session shows, and the test that produces each.
	elsewhere := map[answerer.Kind]string{
		answerer.KindBadRequest:  "listener: TestRefusals",
		answerer.KindTooLarge:    "listener: TestRefusals",
		answerer.KindHeaderLimit: "listener: TestRefusals",
		answerer.KindTruncated:   "forwarder: TestTries",
		answerer.KindInternal:    "forwarder: TestMistakeOfOurOwn",
	}
	var text strings.Builder
	for _, name := range []string{"caller", "faults", "leaving", "log", "poison", "limits"} {
		data, err := os.ReadFile("testdata/" + name + ".golden")
		if err != nil {
			t.Fatal(err)
		}
		text.Write(data)
	}
	for _, entry := range answerer.Table() {
		shown := regexp.MustCompile(`kind=` + string(entry.Kind) + `\b`).MatchString(text.String())
		if !shown && elsewhere[entry.Kind] == "" {
			t.Errorf("no test produces %s", entry.Kind)
		}
	}
}

// TestLimitsSession runs into the limits of an instance and of servers.
func TestLimitsSession(t *testing.T) {
	s := newSession(t, 1, func(settings *loader.Settings) { settings.KeyTable = 3 })
	first := s.fleet.Instances()[0]
	s.publish()
	orders := []lagoonstile.ServerID{"order-1", "order-2", "order-3"}
	s.say("a server's own error is an answer: kept and replayed")
	for _, id := range orders {
		s.fleet.Server(id).SetFaults(emulator.ServerFaults{Mode: emulator.ModeErrors})
	}
	s.ask(first, http.MethodPost, "/orders/1", key(first, "a"))
	s.ask(first, http.MethodPost, "/orders/1", key(first, "a"))
	s.say("a server crashes on an order: it is not run again")
	for _, id := range orders {
		s.fleet.Server(id).SetFaults(emulator.ServerFaults{CrashOn: "/orders/2"})
	}
	s.ask(first, http.MethodPost, "/orders/2", key(first, "b"))
	s.ask(first, http.MethodPost, "/orders/2", key(first, "b"))
	s.say("a large answer to an order is passed on, and not kept")
	large := key(first, "c")
	large[lagoonstile.HeaderService] = "orders"
	s.ask(first, http.MethodPost, "/download/100000", large)
	s.ask(first, http.MethodPost, "/download/100000", large)
	s.say("the key table is full")
	s.ask(first, http.MethodPost, "/orders/4", key(first, "d"))
	s.say("every server of a service leaves")
	for _, id := range []lagoonstile.ServerID{"stock-1", "stock-2", "stock-3"} {
		s.fleet.Server(id).Drain()
	}
	s.ask(first, http.MethodGet, "/stock/1", nil)
	s.say("the last instance leaves: there is no address to name")
	left := make(chan error)
	go func() { left <- s.fleet.Drain(context.Background(), first) }()
	s.await("the instance is leaving", func() bool { return first.Status().Leaving })
	s.ask(first, http.MethodGet, "/lagoonstile/entry?service=stock", nil)
	if err := <-left; err != nil {
		t.Error(err)
	}
	s.end("limits")
}
