package dispatcher_test

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"lagoonstile"
	"lagoonstile/answerer"
	"lagoonstile/deduplicator"
	"lagoonstile/dispatcher"
	"lagoonstile/forwarder"
	"lagoonstile/internal/checker"
	"lagoonstile/router"
)

var limits = deduplicator.Limits{Keys: 1000, KeptBytes: 1 << 20, Epoch: 10 * time.Minute}

var entry = &router.Entry{Service: &lagoonstile.Service{ID: "orders"}}

// cell is a few instances, the network between them and the servers behind
// them, all in virtual time. What a message or a server does to an order
// depends on the seed and the order only, not on who runs first.
type cell struct {
	seed uint64
	// lossy lets messages and answers get lost.
	lossy bool

	mu        sync.Mutex
	instances map[lagoonstile.InstanceID]*instance
	processes []*instance
	started   int
	runs      map[string]int
	told      map[string][]answerer.Outcome
	wrong     []string
	sends     int
	flying    sync.WaitGroup
}

// instance is one process. A new one takes the place of one that died.
type instance struct {
	cell       *cell
	id         lagoonstile.InstanceID
	dispatcher *dispatcher.Dispatcher
	// dead ends everything that the process does or says.
	dead bool
	// frozen stops the process until the channel is closed.
	frozen chan struct{}
	// unreachable are the peers that get nothing from here.
	unreachable map[lagoonstile.InstanceID]bool
}

func newCell(seed uint64, lossy bool, ids ...lagoonstile.InstanceID) *cell {
	c := &cell{
		seed: seed, lossy: lossy,
		instances: map[lagoonstile.InstanceID]*instance{},
		runs:      map[string]int{}, told: map[string][]answerer.Outcome{},
	}
	for _, id := range ids {
		c.start(id)
	}
	return c
}

func (c *cell) start(id lagoonstile.InstanceID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started++
	i := &instance{cell: c, id: id, unreachable: map[lagoonstile.InstanceID]bool{}}
	incarnation := lagoonstile.Incarnation(fmt.Sprint("i", c.started))
	i.dispatcher = dispatcher.New(time.Now(), id, incarnation, limits, i.run, i)
	c.instances[id] = i
	c.processes = append(c.processes, i)
}

// all returns every process that was ever started.
func (c *cell) all() []*instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.processes)
}

// chance returns the same number from 0 to 1 for the same words.
func (c *cell) chance(words ...any) float64 {
	hash := fnv.New64a()
	_, _ = fmt.Fprint(hash, words...)
	return rand.New(rand.NewPCG(c.seed, hash.Sum64())).Float64()
}

// stay waits while the process is frozen and reports whether it lives.
func (i *instance) stay() bool {
	i.cell.mu.Lock()
	frozen := i.frozen
	i.cell.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
	i.cell.mu.Lock()
	defer i.cell.mu.Unlock()
	return !i.dead
}

// run is the servers: they run an order, run it and lose the answer, or refuse.
func (i *instance) run(_ context.Context, req *forwarder.Request) (*forwarder.Answer, error) {
	time.Sleep(time.Duration(i.cell.chance("work", req.Key) * float64(100*time.Millisecond)))
	fate := i.cell.chance("server", req.Key)
	if fate < 0.15 {
		return nil, &answerer.Failure{Kind: answerer.KindOverloaded}
	}
	if !i.stay() {
		return nil, errors.New("the process is gone")
	}
	i.cell.mu.Lock()
	i.cell.runs[req.Key]++
	i.cell.mu.Unlock()
	if fate < 0.3 && i.cell.lossy {
		return nil, &answerer.Failure{Kind: answerer.KindServerFailed, MayHaveRun: true}
	}
	body := []byte("answer to " + req.Key)
	return &forwarder.Answer{Status: 200, Body: body, Length: int64(len(body))}, nil
}

// owner finds who has a home now, as gossip would tell.
func (i *instance) owner(home lagoonstile.Home) *instance {
	id := dispatcher.HomeID(home)
	var found *instance
	for _, other := range i.cell.all() {
		i.cell.mu.Lock()
		dead := other.dead
		i.cell.mu.Unlock()
		if dead {
			continue
		}
		if slices.Contains(other.dispatcher.Homes(), id) {
			return other
		}
		if dispatcher.HomeID(other.dispatcher.Home()) == id {
			found = other
		}
	}
	return found
}

var errLost = errors.New("lost")

// carry takes a message to a peer and its answer back, over a network that may
// lose either.
func carry[A any](ctx context.Context, i, to *instance, label string, deliver func() A) (A, error) {
	var none A
	if to == nil || to == i {
		return none, errors.New("no such peer")
	}
	cut := func(from, at *instance) bool {
		i.cell.mu.Lock()
		defer i.cell.mu.Unlock()
		return from.unreachable[at.id] || at.dead
	}
	if !i.stay() || cut(i, to) || (i.cell.lossy && i.cell.chance("there", label) < 0.1) {
		return none, errLost
	}
	if i.cell.lossy {
		time.Sleep(time.Duration(i.cell.chance("delay", label) * float64(3*time.Second)))
	}
	done := make(chan A, 1)
	i.cell.flying.Add(1)
	go func() {
		defer i.cell.flying.Done()
		if to.stay() {
			done <- deliver()
		}
	}()
	select {
	case answer := <-done:
		if cut(to, i) || (i.cell.lossy && i.cell.chance("back", label) < 0.1) {
			return none, errLost
		}
		return answer, nil
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

func (i *instance) Order(ctx context.Context, home lagoonstile.Home, order dispatcher.Order) (dispatcher.Reply, error) {
	to := i.owner(home)
	return carry(ctx, i, to, order.ID, func() dispatcher.Reply {
		return to.dispatcher.Serve(context.Background(), &order, entry)
	})
}

func (i *instance) HandOver(ctx context.Context, to lagoonstile.InstanceID, page dispatcher.Page) error {
	i.cell.mu.Lock()
	peer := i.cell.instances[to]
	i.cell.mu.Unlock()
	refused, err := carry(ctx, i, peer, fmt.Sprint("page", page.Home, page.Number), func() error {
		return peer.dispatcher.Receive(time.Now(), page)
	})
	return errors.Join(err, refused)
}

// send sends an order through an instance and notes what the caller is told.
func (c *cell) send(through lagoonstile.InstanceID, key string) {
	c.mu.Lock()
	i := c.instances[through]
	c.sends++
	id := fmt.Sprint("request-", c.sends)
	c.mu.Unlock()
	if i == nil {
		return
	}
	c.flying.Add(1)
	go func() {
		defer c.flying.Done()
		if !i.stay() {
			return
		}
		req := &forwarder.Request{ID: id, Entry: entry, Key: key, Method: "POST", URI: "/order", Deadline: time.Now().Add(5 * time.Second)}
		answer, err := i.dispatcher.Do(context.Background(), req)
		if !i.stay() {
			return // Nobody hears a dead process.
		}
		c.note(key, answer, err)
	}()
}

func (c *cell) note(key string, answer *forwarder.Answer, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var failure *answerer.Failure
	switch {
	case err == nil:
		if string(answer.Body) != "answer to "+key {
			c.wrong = append(c.wrong, fmt.Sprintf("%s was answered %q", key, answer.Body))
		}
		c.told[key] = append(c.told[key], answerer.OutcomeRan)
	case errors.As(err, &failure):
		c.told[key] = append(c.told[key], failure.Outcome())
	default:
		c.told[key] = append(c.told[key], answerer.OutcomeUnknown)
	}
}

// check compares what callers were told with what servers ran.
func (c *cell) check(fatalf func(string, ...any)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, text := range c.wrong {
		fatalf("%s", text)
	}
	for key, runs := range c.runs {
		if runs > 1 {
			fatalf("%s ran %d times", key, runs)
		}
	}
	for key, outcomes := range c.told {
		for _, outcome := range outcomes {
			if outcome == answerer.OutcomeNotRun && c.runs[key] > 0 {
				fatalf("%s was told not-run, and it ran; told %v", key, outcomes)
			}
			if outcome == answerer.OutcomeRan && c.runs[key] == 0 {
				fatalf("%s was told that it ran, and it did not; told %v", key, outcomes)
			}
		}
	}
}

// replace ends a process that has left and starts another in its name.
func (c *cell) replace(i *instance) {
	c.mu.Lock()
	gone := i.dead
	i.dead = true
	c.mu.Unlock()
	if !gone {
		c.start(i.id)
	}
}

// TestOrdersRunAtMostOnce plays orders, resends through any instance, lost and
// late messages, crashes, freezes, partitions in one direction and graceful
// handovers, in any order and together.
func TestOrdersRunAtMostOnce(t *testing.T) {
	ids := []lagoonstile.InstanceID{"proxy-1", "proxy-2", "proxy-3"}
	checker.CheckVirtual(t, func(t *rapid.T) {
		c := newCell(rapid.Uint64().Draw(t, "seed"), true, ids...)
		end := func() {
			for _, i := range c.all() {
				thaw(i)
			}
			c.flying.Wait()
		}
		defer end()
		var keys []string
		anyID := func(t *rapid.T) lagoonstile.InstanceID { return rapid.SampledFrom(ids).Draw(t, "instance") }
		at := func(id lagoonstile.InstanceID) *instance {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.instances[id]
		}
		t.Repeat(map[string]func(*rapid.T){
			"order": func(t *rapid.T) {
				if home := at(anyID(t)); home != nil {
					keys = append(keys, fmt.Sprint(home.dispatcher.Home(), ".", len(keys)))
					c.send(anyID(t), keys[len(keys)-1])
				}
			},
			"resend": func(t *rapid.T) {
				if len(keys) > 0 {
					c.send(anyID(t), rapid.SampledFrom(keys).Draw(t, "key"))
				}
			},
			"time": func(t *rapid.T) {
				time.Sleep(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"long time": func(t *rapid.T) {
				time.Sleep(time.Duration(rapid.IntRange(1, 15).Draw(t, "minutes")) * time.Minute)
			},
			"crash": func(t *rapid.T) {
				i := at(anyID(t))
				if i == nil {
					return
				}
				c.mu.Lock()
				i.dead = true
				c.mu.Unlock()
				c.start(i.id)
			},
			"freeze": func(t *rapid.T) {
				i := at(anyID(t))
				c.mu.Lock()
				defer c.mu.Unlock()
				if i != nil && i.frozen == nil {
					i.frozen = make(chan struct{})
				}
			},
			"thaw": func(t *rapid.T) { thaw(at(anyID(t))) },
			"partition": func(t *rapid.T) {
				from, to := at(anyID(t)), anyID(t)
				c.mu.Lock()
				defer c.mu.Unlock()
				if from != nil {
					from.unreachable[to] = !from.unreachable[to]
				}
			},
			"leave": func(t *rapid.T) {
				from, to := at(anyID(t)), anyID(t)
				if from == nil || from.id == to || from.dispatcher.Sealed() {
					return
				}
				from.dispatcher.Seal()
				c.flying.Add(1)
				go func() {
					defer c.flying.Done()
					ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
					defer cancel()
					_ = from.dispatcher.HandOver(ctx, to)
					time.Sleep(2 * time.Second)
					c.replace(from)
				}()
			},
			"": func(t *rapid.T) { c.check(t.Fatalf) },
		})
		end()
		c.check(t.Fatalf)
	})
}

func thaw(i *instance) {
	if i == nil {
		return // It has left, and its successor in name is not there yet.
	}
	i.cell.mu.Lock()
	defer i.cell.mu.Unlock()
	if i.frozen != nil {
		close(i.frozen)
		i.frozen = nil
	}
}

// TestGracefulHandoverLeavesNothingUnknown hands keys over while orders come in
// on every instance, over a network that loses nothing.
func TestGracefulHandoverLeavesNothingUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(1, false, "proxy-1", "proxy-2", "proxy-3")
		home := c.instances["proxy-1"].dispatcher.Home()
		leaving := c.instances["proxy-1"].dispatcher
		for n := range 300 {
			key := fmt.Sprint(home, ".", n)
			c.send([]lagoonstile.InstanceID{"proxy-1", "proxy-2", "proxy-3"}[n%3], key)
			c.send("proxy-3", key)
			time.Sleep(2 * time.Millisecond)
			if n == 100 {
				leaving.Seal()
				go func() {
					if err := leaving.HandOver(context.Background(), "proxy-2"); err != nil {
						t.Error(err)
					}
				}()
			}
		}
		// The successor knows what became of every order.
		for n := range 300 {
			c.send("proxy-3", fmt.Sprint(home, ".", n))
		}
		c.flying.Wait()
		c.check(t.Fatalf)
		for key, outcomes := range c.told {
			if len(outcomes) != 3 || slices.Contains(outcomes, answerer.OutcomeUnknown) {
				t.Errorf("%s was told %v", key, outcomes)
			}
		}
		if leaving.Successor() != "proxy-2" {
			t.Errorf("successor %q, want proxy-2", leaving.Successor())
		}
	})
}

// TestPagesOutOfTurn refuses a handover that misses a page, and one that comes
// twice.
func TestPagesOutOfTurn(t *testing.T) {
	home := lagoonstile.Home{Instance: "proxy-9", Incarnation: "i", Epoch: 1}
	tests := []struct {
		name  string
		pages []dispatcher.Page
		ok    bool
	}{
		{"one page", []dispatcher.Page{{Home: home, Last: true}}, true},
		{"two pages", []dispatcher.Page{{Home: home}, {Home: home, Number: 1, Last: true}}, true},
		{"the first is missing", []dispatcher.Page{{Home: home, Number: 1, Last: true}}, false},
		{"the last comes twice", []dispatcher.Page{{Home: home, Last: true}, {Home: home, Last: true}}, false},
	}
	for _, test := range tests {
		d := dispatcher.New(time.Unix(0, 0), "proxy-1", "i", limits, nil, nil)
		var err error
		for _, page := range test.pages {
			err = d.Receive(time.Unix(0, 0), page)
		}
		if (err == nil) != test.ok {
			t.Errorf("%s: %v", test.name, err)
		}
	}
}
