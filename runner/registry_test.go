package runner

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lagoonstile"
)

// TestRegistry plays what a store shows of one server and tells when it is held.
func TestRegistry(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	ready := lagoonstile.Backend{ID: "s", Slots: 6}
	draining := ready
	draining.Draining = true
	tests := []struct {
		name string
		play func(r *Registry)
		// held tells at which times the server must be there.
		held map[int]bool
	}{
		{"leaves while all is well", func(r *Registry) {
			r.Put(ready)
			r.Remove(at(0), "s")
		}, map[int]bool{0: false}},
		{"lapses while the store is away, and comes back", func(r *Registry) {
			r.Put(ready)
			r.Lost()
			r.Remove(at(0), "s")
			r.Regained(at(1000))
			r.Put(ready)
		}, map[int]bool{1000: true, 5000: true}},
		{"lapses while the store is away, for good", func(r *Registry) {
			r.Put(ready)
			r.Lost()
			r.Regained(at(1000))
			r.Remove(at(1001), "s")
		}, map[int]bool{1000: true, 2800: true, 3000: false}},
		{"drained before it lapsed", func(r *Registry) {
			r.Put(draining)
			r.Lost()
			r.Remove(at(0), "s")
		}, map[int]bool{0: false}},
		{"leaves long after the store's return", func(r *Registry) {
			r.Put(ready)
			r.Lost()
			r.Regained(at(-5000))
			r.Remove(at(0), "s")
		}, map[int]bool{0: false}},
	}
	for _, test := range tests {
		var r Registry
		test.play(&r)
		got := make(map[int]bool)
		for ms := range 6000 {
			r.Expire(at(ms))
			if _, ok := test.held[ms]; ok {
				got[ms] = len(r.Backends()) == 1
			}
		}
		if diff := cmp.Diff(test.held, got); diff != "" {
			t.Errorf("%s: held (-want +got):\n%s", test.name, diff)
		}
	}
}
