package rehearser_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"testing"
	"time"

	"lagoonstile/cmd/standin/emulator"
)

// defaultSoakDuration is the length of the soak test if LAGOONSTILE_SOAK is not
// set.
const defaultSoakDuration = 6 * time.Second

// soak is a testbed to which random actions are applied.
type soak struct {
	*testbed
	random        *rand.Rand
	configVersion int
	serversAdded  int
}

// TestSoak applies random faults and changes to a testbed under load, so that
// several are in effect at a time, and checks every answer against what the
// servers ran. Then it clears all faults, and every instance must serve again.
// LAGOONSTILE_SOAK sets its length and LAGOONSTILE_SOAK_SEED its random seed.
func TestSoak(t *testing.T) {
	t.Parallel()
	length, seed := defaultSoakDuration, uint64(1)
	if text := os.Getenv("LAGOONSTILE_SOAK"); text != "" {
		var err error
		if length, err = time.ParseDuration(text); err != nil {
			t.Fatal(err)
		}
	}
	if text := os.Getenv("LAGOONSTILE_SOAK_SEED"); text != "" {
		if _, err := fmt.Sscan(text, &seed); err != nil {
			t.Fatal(err)
		}
	}
	s := &soak{testbed: newTestbed(t, 4), random: rand.New(rand.NewPCG(seed, 0)), configVersion: 1}
	lookupCount := 0
	lookupAddress := func() string {
		lookupCount++
		return s.instances[lookupCount%len(s.instances)].settings.ClientAddress
	}
	// One client each, because the address functions are not safe for concurrent use.
	stopLookups := s.startClients(1, http.MethodGet, "/look/7", lookupAddress)
	orderCount := 0
	stopOrders := s.startClients(1, http.MethodPost, "/order/7", func() string {
		orderCount++
		return s.instances[orderCount%len(s.instances)].settings.ClientAddress
	})
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		s.randomAction()
	}
	s.clearFaults()
	lookups, orders := stopLookups(), stopOrders()
	for n := range s.instances {
		s.waitFor("a lookup to succeed after the soak", func() bool { return s.send(n, http.MethodGet, "/look/7").status == http.StatusOK })
		s.waitFor("an order to succeed after the soak", func() bool { return s.send(n, http.MethodPost, "/order/7").status == http.StatusOK })
	}
	t.Logf("seed %d: %d of %d lookups and %d of %d orders served", seed,
		countStatus(lookups, http.StatusOK), len(lookups), countStatus(orders, http.StatusOK), len(orders))
}

// randomAction applies one random fault or change.
func (s *soak) randomAction() {
	modes := []emulator.BackendMode{
		emulator.BackendHealthy, emulator.BackendErrors, emulator.BackendResets, emulator.BackendHangs,
		emulator.BackendSheds, emulator.BackendWrongRequestID, emulator.BackendTruncates, emulator.BackendUnsigned,
	}
	service := []string{"stock", "orders"}[s.random.IntN(2)]
	switch s.random.IntN(7) {
	case 0, 1:
		s.pickBackend(service).SetFault(modes[s.random.IntN(len(modes))], s.random.Float64())
	case 2:
		s.pickBackend(service).Register([]string{"draining", "ready"}[s.random.IntN(2)])
	case 3:
		s.serversAdded++
		s.startBackend(fmt.Sprintf("%s-late-%d", service, s.serversAdded), service)
	case 4:
		rejectModes := []string{"", "", "busy", "limit", "reset", "silent"}
		s.store.SetFaults(emulator.StoreFaults{
			RejectMode: rejectModes[s.random.IntN(len(rejectModes))],
			Delay:      time.Duration(s.random.IntN(100)) * time.Millisecond,
		})
	case 5:
		s.configVersion++
		s.store.Put("keyed.op", "config", config(s.configVersion))
		s.store.Compact("keyed.op")
	case 6:
		n := s.random.IntN(len(s.instances))
		s.stop(n)
		s.start(n)
	}
}

// pickBackend returns at random one of the servers of a service that the testbed
// started with.
func (s *soak) pickBackend(service string) *emulator.Backend {
	return s.backends[fmt.Sprintf("%s-%d", service, s.random.IntN(3))]
}

// clearFaults makes the store and all servers healthy and registers the servers.
func (s *soak) clearFaults() {
	s.store.SetFaults(emulator.StoreFaults{})
	for _, b := range s.backends {
		b.SetFault(emulator.BackendHealthy, 0)
		b.Register("ready")
	}
}
