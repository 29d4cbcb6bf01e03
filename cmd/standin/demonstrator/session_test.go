package demonstrator

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lagoonstile"
	"lagoonstile/answerer"
	"lagoonstile/loader"
	"lagoonstile/locator"
	"lagoonstile/operator"
	"lagoonstile/runner"
)

var update = flag.Bool("update", false, "write the golden files anew")

// session is a small fleet and a record of what operators and callers did with
// it and saw. Words that differ from run to run are replaced by names.
type session struct {
	t     *testing.T
	fleet *Fleet
	dir   string
	text  bytes.Buffer
	names []string
}

// sessionRules have short deadlines, so that a request that waits ends soon.
const sessionRules = `
[[rule]]
service = "stock"
rank = "lookups"
idempotent = true
deadline = "2s"
[[rule.route]]
path-prefix = "/stock"

[[rule]]
service = "orders"
rank = "orders"
deadline = "2s"
[[rule.route]]
path-prefix = "/orders"
`

func newSession(t *testing.T, instances int, settings func(*loader.Settings)) *session {
	t.Helper()
	t.Parallel()
	s := &session{t: t, dir: t.TempDir()}
	fleet, err := Start(Plan{
		Domains: []lagoonstile.FailureDomain{"nord-a", "nord-b", "nord-c"},
		Groups: []Group{
			{Service: "stock", Prefix: "stock", Count: 3, Work: time.Millisecond},
			{Service: "orders", Prefix: "order", Count: 3, Work: time.Millisecond},
		},
		Rules: sessionRules, Instances: instances, Retention: time.Hour, Dir: s.dir,
		Settings: settings,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Stop)
	s.fleet = fleet
	s.name(fleet.Platform.URL(), "http://PLATFORM")
	s.name(s.dir+"/", "")
	for id, server := range fleet.servers {
		s.name(server.Address(), "ADDRESS-OF-"+strings.ToUpper(string(id)))
	}
	for _, instance := range fleet.Instances() {
		s.nameInstance(instance)
		// What an instance reads before that is history to it.
		s.await("the empty log was read", func() bool { return instance.Status().CaughtUp })
	}
	s.file("inventory.toml", fleet.Inventory())
	s.file("rules.toml", sessionRules)
	return s
}

func (s *session) name(word, name string) { s.names = append(s.names, word, name) }

func (s *session) nameInstance(instance *runner.Instance) {
	self := instance.Identity()
	id := strings.ToUpper(string(self.Instance))
	s.name(self.CallerAddress, id)
	s.name(instance.AdminAddress(), id+"-ADMIN")
	s.name(string(self.Incarnation), "INCARNATION")
}

func (s *session) file(name, text string) {
	if err := os.WriteFile(filepath.Join(s.dir, name), []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

func (s *session) say(format string, args ...any) {
	_, _ = fmt.Fprintf(&s.text, "# "+format+"\n", args...)
}

// ctl runs the operator's tool. Words that are files of the session are written
// as FILE.
func (s *session) ctl(args ...string) int {
	line := strings.Join(args, " ")
	full := []string{"--log", s.fleet.Platform.URL(), "--instances", s.fleet.Platform.URL()}
	for _, arg := range args {
		if strings.HasSuffix(arg, ".toml") {
			arg = filepath.Join(s.dir, arg)
		}
		full = append(full, arg)
	}
	var stdout, stderr bytes.Buffer
	command := operator.Command{Stdout: &stdout, Stderr: &stderr}
	code := command.Run(context.Background(), full)
	_, _ = fmt.Fprintf(&s.text, "$ lagoonctl %s\n%s%sexit %d\n\n", line, stdout.String(), stderr.String(), code)
	return code
}

func (s *session) publish() {
	if code := s.ctl("publish", "--inventory", "inventory.toml", "--rules", "rules.toml", "--reason", "session", "--wait"); code != 0 {
		s.t.Errorf("publish: exit %d", code)
	}
}

// ask sends a request to an instance and records the answer.
func (s *session) ask(instance *runner.Instance, method, path string, header map[string]string) *http.Response {
	s.t.Helper()
	req, err := http.NewRequest(method, "http://"+instance.CallerAddress()+path, nil)
	if err != nil {
		s.t.Fatal(err)
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	line := fmt.Sprintf("> %s %s to %s", method, path, instance.Identity().Instance)
	if key := header[lagoonstile.HeaderKey]; key != "" {
		line += " key " + key
	}
	_, _ = fmt.Fprintln(&s.text, line)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		_, _ = fmt.Fprintln(&s.text, "< no answer")
		return nil
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		body = []byte("broken off")
	}
	words := []string{fmt.Sprint(res.StatusCode)}
	for _, name := range []string{answerer.HeaderKind, answerer.HeaderOutcome, answerer.HeaderReplayed} {
		if value := res.Header.Get(name); value != "" {
			words = append(words, name+"="+value)
		}
	}
	if res.Header.Get(answerer.HeaderKind) == "" {
		words = append(words, shorten(strings.TrimSpace(string(body))))
	}
	_, _ = fmt.Fprintln(&s.text, "< "+strings.Join(words, " "))
	return res
}

// shorten tells the length of a long body.
func shorten(body string) string {
	if len(body) > 200 {
		return fmt.Sprintf("%d bytes", len(body))
	}
	return body
}

// home returns the token that an entry answer would give for an instance.
func home(instance *runner.Instance) string {
	self := instance.Identity()
	return lagoonstile.Home{Instance: self.Instance, Incarnation: self.Incarnation, Epoch: 1}.String()
}

func key(instance *runner.Instance, own string) map[string]string {
	return map[string]string{lagoonstile.HeaderKey: home(instance) + "." + own}
}

// await waits until a condition holds that is bound to come.
func (s *session) await(what string, condition func() bool) {
	s.t.Helper()
	for range 3000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	s.t.Fatalf("after 30 s still not: %s", what)
}

// awaitCell waits until every instance hears every other one and names all in
// entry answers.
func (s *session) awaitCell() {
	s.t.Helper()
	instances := s.fleet.Instances()
	for _, instance := range instances {
		s.await("peers linked", func() bool {
			var answer locator.Answer
			err := (&operator.Fleet{}).Get(context.Background(), instance.CallerAddress(), "/lagoonstile/entry?service=stock", &answer)
			return err == nil && len(answer.Addresses) == len(instances)
		})
	}
}

var volatile = []struct {
	pattern *regexp.Regexp
	name    string
}{
	{regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`), "UUID"},
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z`), "TIME"},
	{regexp.MustCompile(`after \d+ ms`), "after N ms"},
	{regexp.MustCompile(`by (stock|order)-\d`), "by $1-N"},
	{regexp.MustCompile(`home proxy-\d`), "home proxy-N"},
	{regexp.MustCompile(`  PROXY-\d in nord-\w`), "  PROXY-N in DOMAIN"},
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "IP:PORT"},
}

// end compares the record with the golden file.
func (s *session) end(name string) {
	s.t.Helper()
	got := strings.NewReplacer(s.names...).Replace(s.text.String())
	for _, v := range volatile {
		got = v.pattern.ReplaceAllString(got, v.name)
	}
	file := filepath.Join("testdata", name+".golden")
	if *update {
		if err := os.WriteFile(file, []byte(got), 0o600); err != nil {
			s.t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(file)
	if err != nil {
		s.t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		s.t.Errorf("%s differs (-want +got):\n%s", file, diff)
	}
}
