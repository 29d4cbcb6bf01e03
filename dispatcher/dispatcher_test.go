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

var limits = deduplicator.Limits{MaxKeys: 1000, MaxAnswerBytes: 1 << 20, EpochDuration: 10 * time.Minute}

var entry = &router.Entry{Service: &lagoonstile.Service{ID: "orders"}}

// fleet simulates a few instances, the network between them and the servers behind
// them, in virtual time. What the network and the servers do with an order depends
// only on the seed and the order, not on goroutine scheduling.
type fleet struct {
	seed uint64
	// lossy makes the network lose and delay messages, and servers lose answers.
	lossy bool

	mu sync.Mutex
	// instances holds the latest process of each instance, and processes every
	// process that was ever started.
	instances map[lagoonstile.InstanceID]*instance
	processes []*instance
	started   int
	// runs counts how often each order ran on a server.
	runs map[string]int
	// reported holds the outcomes that the callers of each order were told.
	reported     map[string][]answerer.Outcome
	wrongAnswers []string
	sends        int
	background   sync.WaitGroup
}

// instance is one process. After it dies, a new process takes its place under the
// same ID.
type instance struct {
	fleet      *fleet
	id         lagoonstile.InstanceID
	dispatcher *dispatcher.Dispatcher
	// dead is set when the process has ended. After that it runs, sends and receives
	// nothing.
	dead bool
	// paused is not nil while the process is paused, and closed when it resumes.
	paused chan struct{}
	// unreachable holds the peers that messages from this process do not reach.
	unreachable map[lagoonstile.InstanceID]bool
}

func newFleet(seed uint64, lossy bool, ids ...lagoonstile.InstanceID) *fleet {
	f := &fleet{
		seed: seed, lossy: lossy,
		instances: map[lagoonstile.InstanceID]*instance{},
		runs:      map[string]int{}, reported: map[string][]answerer.Outcome{},
	}
	for _, id := range ids {
		f.start(id)
	}
	return f
}

// start starts a process.
func (f *fleet) start(id lagoonstile.InstanceID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started++
	i := &instance{fleet: f, id: id, unreachable: map[lagoonstile.InstanceID]bool{}}
	incarnation := lagoonstile.Incarnation(fmt.Sprint("i", f.started))
	i.dispatcher = dispatcher.New(time.Now(), id, incarnation, limits, i.run, i)
	f.instances[id] = i
	f.processes = append(f.processes, i)
}

// all returns every process that was ever started.
func (f *fleet) all() []*instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.processes)
}

// random returns a number in [0, 1) that depends only on the seed and the labels.
func (f *fleet) random(labels ...any) float64 {
	hash := fnv.New64a()
	_, _ = fmt.Fprint(hash, labels...)
	return rand.New(rand.NewPCG(f.seed, hash.Sum64())).Float64()
}

// waitAlive waits while the process is paused and reports whether it is alive.
func (i *instance) waitAlive() bool {
	i.fleet.mu.Lock()
	paused := i.paused
	i.fleet.mu.Unlock()
	if paused != nil {
		<-paused
	}
	i.fleet.mu.Lock()
	defer i.fleet.mu.Unlock()
	return !i.dead
}

// run simulates the servers. They run an order, run it and lose the answer, or shed
// it.
func (i *instance) run(_ context.Context, req *forwarder.Request) (*forwarder.Answer, error) {
	time.Sleep(time.Duration(i.fleet.random("work", req.Key) * float64(100*time.Millisecond)))
	result := i.fleet.random("server", req.Key)
	if result < 0.15 {
		return nil, &answerer.Failure{Kind: answerer.KindOverloaded}
	}
	if !i.waitAlive() {
		return nil, errors.New("the process has died")
	}
	i.fleet.mu.Lock()
	i.fleet.runs[req.Key]++
	i.fleet.mu.Unlock()
	if result < 0.3 && i.fleet.lossy {
		return nil, &answerer.Failure{Kind: answerer.KindServerFailed, MayHaveRun: true}
	}
	body := []byte("answer to " + req.Key)
	return &forwarder.Answer{Status: 200, Body: body, Length: int64(len(body))}, nil
}

// holder returns the instance that now holds the table of the home, as the gossip
// protocol would report it.
func (i *instance) holder(home lagoonstile.Home) *instance {
	id := dispatcher.HomeID(home)
	var origin *instance
	for _, other := range i.fleet.all() {
		i.fleet.mu.Lock()
		dead := other.dead
		i.fleet.mu.Unlock()
		if dead {
			continue
		}
		if slices.Contains(other.dispatcher.AdoptedHomes(), id) {
			return other
		}
		if dispatcher.HomeID(other.dispatcher.Home()) == id {
			origin = other
		}
	}
	return origin
}

var errLost = errors.New("the message was lost")

// transmit sends a message from one process to another and returns the answer. The
// network may lose either.
func transmit[A any](ctx context.Context, from, to *instance, label string, deliver func() A) (A, error) {
	var zero A
	if to == nil || to == from {
		return zero, errors.New("no other instance to send to")
	}
	linkDown := func(sender, receiver *instance) bool {
		from.fleet.mu.Lock()
		defer from.fleet.mu.Unlock()
		return sender.unreachable[receiver.id] || receiver.dead
	}
	if !from.waitAlive() || linkDown(from, to) || (from.fleet.lossy && from.fleet.random("there", label) < 0.1) {
		return zero, errLost
	}
	if from.fleet.lossy {
		time.Sleep(time.Duration(from.fleet.random("delay", label) * float64(3*time.Second)))
	}
	done := make(chan A, 1)
	from.fleet.background.Add(1)
	go func() {
		defer from.fleet.background.Done()
		if to.waitAlive() {
			done <- deliver()
		}
	}()
	select {
	case answer := <-done:
		if linkDown(to, from) || (from.fleet.lossy && from.fleet.random("back", label) < 0.1) {
			return zero, errLost
		}
		return answer, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}

func (i *instance) ForwardOrder(ctx context.Context, home lagoonstile.Home, order dispatcher.Order) (dispatcher.Reply, error) {
	to := i.holder(home)
	return transmit(ctx, i, to, order.ID, func() dispatcher.Reply {
		return to.dispatcher.Serve(context.Background(), &order, entry)
	})
}

func (i *instance) HandOver(ctx context.Context, to lagoonstile.InstanceID, page dispatcher.Page) error {
	i.fleet.mu.Lock()
	peer := i.fleet.instances[to]
	i.fleet.mu.Unlock()
	refused, err := transmit(ctx, i, peer, fmt.Sprint("page", page.Home, page.Number), func() error {
		return peer.dispatcher.Receive(time.Now(), page)
	})
	return errors.Join(err, refused)
}

// send sends an order through an instance and records what the caller is told.
func (f *fleet) send(through lagoonstile.InstanceID, key string) {
	f.mu.Lock()
	i := f.instances[through]
	f.sends++
	id := fmt.Sprint("request-", f.sends)
	f.mu.Unlock()
	if i == nil {
		return
	}
	f.background.Add(1)
	go func() {
		defer f.background.Done()
		if !i.waitAlive() {
			return
		}
		req := &forwarder.Request{ID: id, Entry: entry, Key: key, Method: "POST", URI: "/order", Deadline: time.Now().Add(5 * time.Second)}
		answer, err := i.dispatcher.Do(context.Background(), req)
		if !i.waitAlive() {
			return // A process that has ended sends no answer.
		}
		f.record(key, answer, err)
	}()
}

// record records what the caller of an order was told.
func (f *fleet) record(key string, answer *forwarder.Answer, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var failure *answerer.Failure
	switch {
	case err == nil:
		if string(answer.Body) != "answer to "+key {
			f.wrongAnswers = append(f.wrongAnswers, fmt.Sprintf("%s was answered %q", key, answer.Body))
		}
		f.reported[key] = append(f.reported[key], answerer.OutcomeRan)
	case errors.As(err, &failure):
		f.reported[key] = append(f.reported[key], failure.Outcome())
	default:
		f.reported[key] = append(f.reported[key], answerer.OutcomeUnknown)
	}
}

// check compares what callers were told with what the servers ran.
func (f *fleet) check(fatalf func(string, ...any)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, text := range f.wrongAnswers {
		fatalf("%s", text)
	}
	for key, runs := range f.runs {
		if runs > 1 {
			fatalf("%s ran %d times", key, runs)
		}
	}
	for key, outcomes := range f.reported {
		for _, outcome := range outcomes {
			if outcome == answerer.OutcomeNotRun && f.runs[key] > 0 {
				fatalf("the caller of %s was told not-run, but the order ran; outcomes %v", key, outcomes)
			}
			if outcome == answerer.OutcomeRan && f.runs[key] == 0 {
				fatalf("the caller of %s was told that the order ran, but it did not; outcomes %v", key, outcomes)
			}
		}
	}
}

// replace ends a process that has left the fleet and starts another one with the
// same ID, unless it has already crashed and been replaced.
func (f *fleet) replace(i *instance) {
	f.mu.Lock()
	wasDead := i.dead
	i.dead = true
	f.mu.Unlock()
	if !wasDead {
		f.start(i.id)
	}
}

// TestOrdersRunAtMostOnce runs random sequences of orders, resends through any
// instance, lost and delayed messages, crashes, pauses, partitions in one direction
// and graceful handovers, which may overlap. It checks that no order runs twice and
// that no caller is told a wrong outcome.
func TestOrdersRunAtMostOnce(t *testing.T) {
	ids := []lagoonstile.InstanceID{"proxy-1", "proxy-2", "proxy-3"}
	checker.CheckVirtual(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), true, ids...)
		end := func() {
			for _, i := range f.all() {
				resume(i)
			}
			f.background.Wait()
		}
		defer end()
		var keys []string
		anyID := func(t *rapid.T) lagoonstile.InstanceID { return rapid.SampledFrom(ids).Draw(t, "instance") }
		current := func(id lagoonstile.InstanceID) *instance {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.instances[id]
		}
		t.Repeat(map[string]func(*rapid.T){
			"order": func(t *rapid.T) {
				if home := current(anyID(t)); home != nil {
					keys = append(keys, fmt.Sprint(home.dispatcher.Home(), ".", len(keys)))
					f.send(anyID(t), keys[len(keys)-1])
				}
			},
			"resend": func(t *rapid.T) {
				if len(keys) > 0 {
					f.send(anyID(t), rapid.SampledFrom(keys).Draw(t, "key"))
				}
			},
			"time": func(t *rapid.T) {
				time.Sleep(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"long time": func(t *rapid.T) {
				time.Sleep(time.Duration(rapid.IntRange(1, 15).Draw(t, "minutes")) * time.Minute)
			},
			"crash": func(t *rapid.T) {
				i := current(anyID(t))
				if i == nil {
					return
				}
				f.mu.Lock()
				i.dead = true
				f.mu.Unlock()
				f.start(i.id)
			},
			"freeze": func(t *rapid.T) {
				i := current(anyID(t))
				f.mu.Lock()
				defer f.mu.Unlock()
				if i != nil && i.paused == nil {
					i.paused = make(chan struct{})
				}
			},
			"resume": func(t *rapid.T) { resume(current(anyID(t))) },
			"partition": func(t *rapid.T) {
				from, to := current(anyID(t)), anyID(t)
				f.mu.Lock()
				defer f.mu.Unlock()
				if from != nil {
					from.unreachable[to] = !from.unreachable[to]
				}
			},
			"leave": func(t *rapid.T) {
				from, to := current(anyID(t)), anyID(t)
				if from == nil || from.id == to || from.dispatcher.Sealed() {
					return
				}
				from.dispatcher.Seal()
				f.background.Add(1)
				go func() {
					defer f.background.Done()
					ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
					defer cancel()
					_ = from.dispatcher.HandOver(ctx, to)
					time.Sleep(2 * time.Second)
					f.replace(from)
				}()
			},
			"": func(t *rapid.T) { f.check(t.Fatalf) },
		})
		end()
		f.check(t.Fatalf)
	})
}

// resume ends the pause of a process.
func resume(i *instance) {
	if i == nil {
		return // There is no process with this ID.
	}
	i.fleet.mu.Lock()
	defer i.fleet.mu.Unlock()
	if i.paused != nil {
		close(i.paused)
		i.paused = nil
	}
}

// TestGracefulHandoverKeepsOutcomes hands keys over while orders arrive at every
// instance, over a network without losses. It checks that no outcome is unknown.
func TestGracefulHandoverKeepsOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, false, "proxy-1", "proxy-2", "proxy-3")
		home := f.instances["proxy-1"].dispatcher.Home()
		leaving := f.instances["proxy-1"].dispatcher
		for n := range 300 {
			key := fmt.Sprint(home, ".", n)
			f.send([]lagoonstile.InstanceID{"proxy-1", "proxy-2", "proxy-3"}[n%3], key)
			f.send("proxy-3", key)
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
		// The successor has the outcome of every order.
		for n := range 300 {
			f.send("proxy-3", fmt.Sprint(home, ".", n))
		}
		f.background.Wait()
		f.check(t.Fatalf)
		for key, outcomes := range f.reported {
			if len(outcomes) != 3 || slices.Contains(outcomes, answerer.OutcomeUnknown) {
				t.Errorf("outcomes of %s: %v; want 3, none of them unknown", key, outcomes)
			}
		}
		if leaving.Successor() != "proxy-2" {
			t.Errorf("successor %q, want proxy-2", leaving.Successor())
		}
	})
}

// TestPagesOutOfOrder checks that Receive rejects a handover with a missing page,
// and the last page of a handover that is already complete.
func TestPagesOutOfOrder(t *testing.T) {
	home := lagoonstile.Home{Instance: "proxy-9", Incarnation: "i", Epoch: 1}
	tests := []struct {
		name  string
		pages []dispatcher.Page
		ok    bool
	}{
		{"one page", []dispatcher.Page{{Home: home, Last: true}}, true},
		{"two pages", []dispatcher.Page{{Home: home}, {Home: home, Number: 1, Last: true}}, true},
		{"the first page is missing", []dispatcher.Page{{Home: home, Number: 1, Last: true}}, false},
		{"the last page is sent twice", []dispatcher.Page{{Home: home, Last: true}, {Home: home, Last: true}}, false},
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
