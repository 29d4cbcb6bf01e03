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

// model records what happened to each order, for comparison with the verdicts of the
// table.
type model struct {
	// dispatched counts how often each order was dispatched to a server.
	dispatched map[string]int
	// running holds the orders that were dispatched and have not ended.
	running map[string]bool
	// refused holds the orders whose caller was told that they did not run and
	// never will.
	refused map[string]bool
	// answers holds the answer of the server to each order.
	answers map[string]string
}

// TestTableMatchesModel runs random sequences of orders, resends, delayed copies,
// results of every kind, epoch changes, refusals by a full table and handovers. It
// checks that no order runs twice and that no verdict contradicts what happened to
// the order.
func TestTableMatchesModel(t *testing.T) {
	checker.Check(t, func(t *rapid.T) {
		limits := deduplicator.Limits{MaxKeys: rapid.IntRange(1, 12).Draw(t, "keys"), MaxAnswerBytes: 40, EpochDuration: 10 * time.Minute}
		now := time.Unix(0, 0)
		table := deduplicator.New[string](now, "proxy-1", "i", limits)
		expected := model{map[string]int{}, map[string]bool{}, map[string]bool{}, map[string]string{}}
		type order struct {
			key   string
			epoch uint64
		}
		var orders []order
		send := func(t *rapid.T, o order) {
			verdict := table.Begin(now, o.key, o.epoch, 7)
			switch verdict.Step {
			case deduplicator.StepDispatch:
				if expected.dispatched[o.key] > 0 || expected.refused[o.key] {
					t.Fatalf("%s is dispatched again after %d dispatches; refused: %t", o.key, expected.dispatched[o.key], expected.refused[o.key])
				}
				expected.dispatched[o.key]++
				expected.running[o.key] = true
			case deduplicator.StepWait:
				if !expected.running[o.key] {
					t.Fatalf("%s: told to wait, but it is not running", o.key)
				}
			case deduplicator.StepReplay:
				if verdict.Answer != expected.answers[o.key] {
					t.Fatalf("%s: replayed %q, want %q", o.key, verdict.Answer, expected.answers[o.key])
				}
			case deduplicator.StepRefused, deduplicator.StepFull:
				if expected.dispatched[o.key] > 0 {
					t.Fatalf("%s: told not-run, but it ran", o.key)
				}
				expected.refused[o.key] = true
			case deduplicator.StepRan:
				if expected.dispatched[o.key] == 0 {
					t.Fatalf("%s: told that it ran, but it did not", o.key)
				}
			}
		}
		end := func(t *rapid.T, finish func(key string)) {
			for _, o := range orders {
				if expected.running[o.key] {
					delete(expected.running, o.key)
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
					expected.answers[key] = "answer to " + key
					table.FinishWithAnswer(key, expected.answers[key], rapid.IntRange(1, 50).Draw(t, "size"))
				})
			},
			"large answer": func(t *rapid.T) { end(t, table.FinishWithoutAnswer) },
			"lost answer":  func(t *rapid.T) { end(t, table.FinishUnknown) },
			"shed": func(t *rapid.T) {
				end(t, func(key string) {
					// The server shed the order without running it.
					expected.dispatched[key]--
					if table.Refuse(key) {
						expected.refused[key] = true
					} else {
						expected.dispatched[key]++
					}
				})
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 700).Draw(t, "seconds")) * time.Second)
			},
			"handover": func(t *rapid.T) {
				table.Seal()
				if verdict := table.Begin(now, "new", table.Home().Epoch, 7); verdict.Step != deduplicator.StepSealed {
					t.Fatalf("a sealed table returned step %s for a new key", verdict.Step)
				}
				// The results of orders that still run are lost.
				clear(expected.running)
				table = deduplicator.Adopt(now, table.Home(), table.Export(), limits)
			},
			"": func(t *rapid.T) {
				for key, times := range expected.dispatched {
					if times > 1 {
						t.Fatalf("%s ran %d times", key, times)
					}
				}
				if table.Len() > 2*limits.MaxKeys {
					t.Fatalf("%d keys in a table with a limit of 2 times %d", table.Len(), limits.MaxKeys)
				}
			},
		})
	})
}

// TestKeyReusedForAnotherRequest checks that a request does not get the answer to
// another request that used the same key.
func TestKeyReusedForAnotherRequest(t *testing.T) {
	now := time.Unix(0, 0)
	table := deduplicator.New[string](now, "proxy-1", "i", deduplicator.Limits{MaxKeys: 4, MaxAnswerBytes: 100, EpochDuration: time.Hour})
	table.Begin(now, "key", 1, 1)
	table.FinishWithAnswer("key", "one", 3)
	if verdict := table.Begin(now, "key", 1, 2); verdict.Step != deduplicator.StepMismatch {
		t.Errorf("step %s, want %s", verdict.Step, deduplicator.StepMismatch)
	}
}

// TestSplitKey checks the home and the suffix of valid keys, and that malformed
// keys are rejected.
func TestSplitKey(t *testing.T) {
	home := lagoonstile.Home{Instance: "proxy-1", Incarnation: "9f2c", Epoch: 3}
	tests := []struct {
		key    string
		home   lagoonstile.Home
		suffix string
		ok     bool
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
		got, suffix, err := lagoonstile.SplitKey(test.key)
		if (err == nil) != test.ok || got != test.home || suffix != test.suffix {
			t.Errorf("SplitKey(%q) = %v, %q, %v", test.key, got, suffix, err)
		}
	}
}
