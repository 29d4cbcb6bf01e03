package runner

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lagoonstile"
)

// TestRegistry applies sequences of store events for one server and checks at
// which times the registry has the server.
func TestRegistry(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	ready := lagoonstile.Backend{ID: "s", Slots: 6}
	draining := ready
	draining.Draining = true
	tests := []struct {
		name   string
		events func(r *Registry)
		// want maps times, in milliseconds after the start, to whether the registry
		// must have the server then.
		want map[int]bool
	}{
		{"entry removed while the store is available", func(r *Registry) {
			r.Put(ready)
			r.Remove(at(0), "s")
		}, map[int]bool{0: false}},
		{"entry lapses while the store is down and is written again", func(r *Registry) {
			r.Put(ready)
			r.StoreLost()
			r.Remove(at(0), "s")
			r.StoreRegained(at(1000))
			r.Put(ready)
		}, map[int]bool{1000: true, 5000: true}},
		{"entry lapses while the store is down and is not written again", func(r *Registry) {
			r.Put(ready)
			r.StoreLost()
			r.StoreRegained(at(1000))
			r.Remove(at(1001), "s")
		}, map[int]bool{1000: true, 2800: true, 3000: false}},
		{"entry of a draining server lapses", func(r *Registry) {
			r.Put(draining)
			r.StoreLost()
			r.Remove(at(0), "s")
		}, map[int]bool{0: false}},
		{"entry removed long after the store is available again", func(r *Registry) {
			r.Put(ready)
			r.StoreLost()
			r.StoreRegained(at(-5000))
			r.Remove(at(0), "s")
		}, map[int]bool{0: false}},
	}
	for _, test := range tests {
		var r Registry
		test.events(&r)
		got := make(map[int]bool)
		for ms := range 6000 {
			r.Expire(at(ms))
			if _, ok := test.want[ms]; ok {
				got[ms] = len(r.Backends()) == 1
			}
		}
		if diff := cmp.Diff(test.want, got); diff != "" {
			t.Errorf("%s: presence by time in ms (-want +got):\n%s", test.name, diff)
		}
	}
}
