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

// soakFor is how long the soak lasts where LAGOONSTILE_SOAK says nothing.
const soakFor = 6 * time.Second

// soaker does one thing after the other to a world.
type soaker struct {
	*world
	random  *rand.Rand
	version int
	born    int
}

// TestSoak does random things to a world under load, several at a time, and holds
// every answer against what servers did. Then all is mended, and the fleet must
// serve again. LAGOONSTILE_SOAK sets its length, LAGOONSTILE_SOAK_SEED its luck.
func TestSoak(t *testing.T) {
	t.Parallel()
	length, seed := soakFor, uint64(1)
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
	s := &soaker{world: newWorld(t, 4), random: rand.New(rand.NewPCG(seed, 0)), version: 1}
	turn := 0
	anywhere := func() string {
		turn++
		return s.instances[turn%len(s.instances)].settings.Clients
	}
	// One client each, for the turn is theirs alone.
	looks := s.crowd(1, http.MethodGet, "/look/7", anywhere)
	other := 0
	orders := s.crowd(1, http.MethodPost, "/order/7", func() string {
		other++
		return s.instances[other%len(s.instances)].settings.Clients
	})
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		s.act()
	}
	s.mend()
	looked, ordered := looks(), orders()
	for n := range s.instances {
		s.await("lookups after the soak", func() bool { return s.send(n, http.MethodGet, "/look/7").status == http.StatusOK })
		s.await("orders after the soak", func() bool { return s.send(n, http.MethodPost, "/order/7").status == http.StatusOK })
	}
	t.Logf("seed %d: %d of %d lookups and %d of %d orders served", seed,
		count(looked, http.StatusOK), len(looked), count(ordered, http.StatusOK), len(ordered))
}

// act does one random thing.
func (s *soaker) act() {
	modes := []emulator.BackendMode{
		emulator.BackendHealthy, emulator.BackendErrors, emulator.BackendResets, emulator.BackendHangs,
		emulator.BackendSheds, emulator.BackendWrongRequestID, emulator.BackendTruncates, emulator.BackendUnsigned,
	}
	service := []string{"stock", "orders"}[s.random.IntN(2)]
	switch s.random.IntN(7) {
	case 0, 1:
		s.pick(service).SetFault(modes[s.random.IntN(len(modes))], s.random.Float64())
	case 2:
		s.pick(service).Register([]string{"draining", "ready"}[s.random.IntN(2)])
	case 3:
		s.born++
		s.startBackend(fmt.Sprintf("%s-late-%d", service, s.born), service)
	case 4:
		downs := []string{"", "", "busy", "limit", "reset", "silent"}
		s.store.SetFaults(emulator.StoreFaults{
			RejectMode:  downs[s.random.IntN(len(downs))],
			Delay: time.Duration(s.random.IntN(100)) * time.Millisecond,
		})
	case 5:
		s.version++
		s.store.Put("keyed.op", "config", config(s.version))
		s.store.Compact("keyed.op")
	case 6:
		n := s.random.IntN(len(s.instances))
		s.stop(n)
		s.start(n)
	}
}

// pick returns one of the first servers of a service.
func (s *soaker) pick(service string) *emulator.Backend {
	return s.backends[fmt.Sprintf("%s-%d", service, s.random.IntN(3))]
}

// mend ends everything that is wrong.
func (s *soaker) mend() {
	s.store.SetFaults(emulator.StoreFaults{})
	for _, b := range s.backends {
		b.SetFault(emulator.BackendHealthy, 0)
		b.Register("ready")
	}
}
