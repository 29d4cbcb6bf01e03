package deduplicator_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lagoonstile"
	"lagoonstile/deduplicator"
	"lagoonstile/internal/checker"
)

// world is what really happened, which the table must never contradict.
type world struct {
	// dispatched counts how often a key was given to a server.
	dispatched map[string]int
	// running keys have been dispatched and not ended.
	running map[string]bool
	// refused keys were told that they did not run and never will.
	refused map[string]bool
	// answers holds what servers answered.
	answers map[string]string
}

// TestTableAgreesWithWorld drives a table through orders, resends, late copies,
// ends of every kind, epochs, a full table, and handover, in any order.
func TestTableAgreesWithWorld(t *testing.T) {
	checker.Check(t, func(t *rapid.T) {
		limits := deduplicator.Limits{Keys: rapid.IntRange(1, 12).Draw(t, "keys"), KeptBytes: 40, Epoch: 10 * time.Minute}
		now := time.Unix(0, 0)
		table := deduplicator.New[string](now, "proxy-1", "i", limits)
		w := world{map[string]int{}, map[string]bool{}, map[string]bool{}, map[string]string{}}
		type order struct {
			key   string
			epoch uint64
		}
		var orders []order
		send := func(t *rapid.T, o order) {
			verdict := table.Begin(now, o.key, o.epoch, 7)
			switch verdict.Step {
			case deduplicator.StepDispatch:
				if w.dispatched[o.key] > 0 || w.refused[o.key] {
					t.Fatalf("%s is dispatched again: before %d times, refused %t", o.key, w.dispatched[o.key], w.refused[o.key])
				}
				w.dispatched[o.key]++
				w.running[o.key] = true
			case deduplicator.StepWait:
				if !w.running[o.key] {
					t.Fatalf("%s: told to wait for nothing", o.key)
				}
			case deduplicator.StepReplay:
				if verdict.Answer != w.answers[o.key] {
					t.Fatalf("%s: replayed %q, want %q", o.key, verdict.Answer, w.answers[o.key])
				}
			case deduplicator.StepRefused, deduplicator.StepFull:
				if w.dispatched[o.key] > 0 {
					t.Fatalf("%s: told not-run, and it ran", o.key)
				}
				w.refused[o.key] = true
			case deduplicator.StepRan:
				if w.dispatched[o.key] == 0 {
					t.Fatalf("%s: told that it ran, and it did not", o.key)
				}
			}
		}
		end := func(t *rapid.T, finish func(key string)) {
			for _, o := range orders {
				if w.running[o.key] {
					delete(w.running, o.key)
					finish(o.key)
					return
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"order": func(t *rapid.T) {
				o := order{key: fmt.Sprint("key-", len(orders)), epoch: table.Home().Epoch}
				orders = append(orders, o)
				if rapid.Bool().Draw(t, "arrives now") {
					send(t, o)
				}
			},
			"copy": func(t *rapid.T) {
				if len(orders) > 0 {
					send(t, rapid.SampledFrom(orders).Draw(t, "order"))
				}
			},
			"answer": func(t *rapid.T) {
				end(t, func(key string) {
					w.answers[key] = "answer to " + key
					table.Keep(key, w.answers[key], rapid.IntRange(1, 50).Draw(t, "size"))
				})
			},
			"large answer": func(t *rapid.T) { end(t, table.Ran) },
			"lost answer":  func(t *rapid.T) { end(t, table.Unknown) },
			"shed": func(t *rapid.T) {
				end(t, func(key string) {
					// The server did not run it after all.
					w.dispatched[key]--
					if table.Refuse(key) {
						w.refused[key] = true
					} else {
						w.dispatched[key]++
					}
				})
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 700).Draw(t, "seconds")) * time.Second)
			},
			"handover": func(t *rapid.T) {
				table.Seal()
				if verdict := table.Begin(now, "new", table.Home().Epoch, 7); verdict.Step != deduplicator.StepSealed {
					t.Fatalf("a sealed table says %s to a new key", verdict.Step)
				}
				// Orders that still run are cut off: nobody will hear of their end.
				clear(w.running)
				table = deduplicator.Adopt(now, table.Home(), table.Export(), limits)
			},
			"": func(t *rapid.T) {
				for key, times := range w.dispatched {
					if times > 1 {
						t.Fatalf("%s ran %d times", key, times)
					}
				}
				if table.Len() > 2*limits.Keys {
					t.Fatalf("%d keys in a table for %d", table.Len(), limits.Keys)
				}
			},
		})
	})
}

// TestKeyOfAnotherRequest refuses to answer one request with another's answer.
func TestKeyOfAnotherRequest(t *testing.T) {
	now := time.Unix(0, 0)
	table := deduplicator.New[string](now, "proxy-1", "i", deduplicator.Limits{Keys: 4, KeptBytes: 100, Epoch: time.Hour})
	table.Begin(now, "key", 1, 1)
	table.Keep("key", "one", 3)
	if verdict := table.Begin(now, "key", 1, 2); verdict.Step != deduplicator.StepMismatch {
		t.Errorf("step %s, want %s", verdict.Step, deduplicator.StepMismatch)
	}
}

// TestHomesOfKeys takes keys apart.
func TestHomesOfKeys(t *testing.T) {
	home := lagoonstile.Home{Instance: "proxy-1", Incarnation: "9f2c", Epoch: 3}
	tests := []struct {
		key  string
		home lagoonstile.Home
		own  string
		ok   bool
	}{
		{home.String() + ".42", home, "42", true},
		{home.String() + ".4.2", home, "4.2", true},
		{home.String(), lagoonstile.Home{}, "", false},
		{home.String() + ".", lagoonstile.Home{}, "", false},
		{"proxy-1.9f2c.x.42", lagoonstile.Home{}, "", false},
		{"proxy-1.9f2c.03.42", lagoonstile.Home{}, "", false},
		{"42", lagoonstile.Home{}, "", false},
	}
	for _, test := range tests {
		got, own, err := lagoonstile.SplitKey(test.key)
		if (err == nil) != test.ok || got != test.home || own != test.own {
			t.Errorf("%q: %v, %q, %v", test.key, got, own, err)
		}
	}
}
