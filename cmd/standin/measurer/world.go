// Package measurer measures the decisions of a cell under load and faults in
// virtual time: the real control state, picker and budget of sixteen instances
// before fake servers with six slots. It is no model of a cluster: there are no
// sockets, no processes and no lost messages, only arrivals, servers that fail
// in one way, and clocks that a seed determines.
package measurer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"lagoonstile"
	"lagoonstile/counter"
)

// Deployment is a service of one of the users.
type Deployment struct {
	Name                  string
	Servers               int
	FalseEjectionsPerWeek float64
	Floor                 float64
}

// Consorzio and Mostpruefung are the users' lookup services.
var (
	Consorzio    = Deployment{Name: "consorzio", Servers: 8, FalseEjectionsPerWeek: 1, Floor: 0.5}
	Mostpruefung = Deployment{Name: "mostpruefung", Servers: 10, FalseEjectionsPerWeek: 0.001, Floor: 0.6}
)

// Policy is how the instances decide.
type Policy string

// The policies: ours, ours without sharing, and round robin with ejection
// after five failures in a row.
const (
	PolicyOurs       Policy = "ours"
	PolicyAlone      Policy = "ours-alone"
	PolicyRoundRobin Policy = "round-robin"
)

// Sizes and times of the world.
const (
	instances = 16
	slots     = 6
	queueMost = 24
	work      = 20 * time.Millisecond
	deadline  = 2 * time.Second
	maxTries  = 4
	domains   = 3
	// lookInterval is the resolution of measured times.
	lookInterval = 10 * time.Millisecond
)

// World is a service, its servers and the instances before it.
type World struct {
	Now    time.Time
	random *rand.Rand
	events eventQueue
	serial uint64

	deployment Deployment
	servers    []*server
	instances  []instance

	// Requests, Failed and Tries count what callers sent and saw, and what
	// servers got.
	Requests, Failed, Tries int
	// Bad counts bad answers of any server, as seen by instances.
	Bad int
}

// instance is one policy's side of a request.
type instance interface {
	// pick returns a server that was not tried, or nil.
	pick(tried []*server) *server
	begin(s *server)
	end(s *server)
	observe(s *server, result counter.Result, took time.Duration)
	// success and retry draw on the retry budget.
	success()
	retry() bool
	slowAfter() time.Duration
	// uses reports whether the server gets ordinary traffic.
	uses(s *server) bool
	drained(s *server)
}

// NewWorld returns a world at the given seed, without load.
func NewWorld(deployment Deployment, policy Policy, seed uint64) *World {
	w := &World{
		Now:        time.Unix(1_000_000, 0),
		random:     rand.New(rand.NewPCG(seed, 17)),
		deployment: deployment,
	}
	for i := range deployment.Servers {
		w.servers = append(w.servers, newServer(w, i))
	}
	switch policy {
	case PolicyRoundRobin:
		for i := range instances {
			w.instances = append(w.instances, &roundRobin{world: w, next: i, failures: map[*server]int{}, until: map[*server]time.Time{}})
		}
	default:
		w.startControlled(policy == PolicyOurs)
	}
	return w
}

func domainOf(i int) lagoonstile.FailureDomain {
	return lagoonstile.FailureDomain(fmt.Sprint("domain-", i%domains))
}

// Load sends requests at a rate until the end of the world.
func (w *World) Load(perSecond float64) {
	var next func()
	next = func() {
		w.request(w.random.IntN(len(w.instances)))
		w.After(time.Duration(w.random.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	w.After(0, next)
}

// Capacity returns the requests a second that all servers can answer.
func (w *World) Capacity() float64 {
	return float64(len(w.servers)*slots) / work.Seconds()
}

// Run lets time pass until the condition holds or the span is over, and
// reports whether it held. The condition is looked at every lookInterval.
func (w *World) Run(span time.Duration, condition func() bool) bool {
	end := w.Now.Add(span)
	look := w.Now
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		next := heap.Pop(&w.events).(event)
		w.Now = next.at
		next.do()
		if condition == nil || w.Now.Before(look) {
			continue
		}
		look = w.Now.Add(lookInterval)
		if condition() {
			return true
		}
	}
	w.Now = end
	return false
}

// After does something later.
func (w *World) After(d time.Duration, do func()) {
	w.serial++
	heap.Push(&w.events, event{at: w.Now.Add(d), serial: w.serial, do: do})
}

// Using returns how many instances send ordinary traffic to a server.
func (w *World) Using(index int) int {
	n := 0
	for _, i := range w.instances {
		if i.uses(w.servers[index]) {
			n++
		}
	}
	return n
}

// InUse returns the servers that an instance sends ordinary traffic to.
func (w *World) InUse(instance int) int {
	n := 0
	for _, s := range w.servers {
		if w.instances[instance].uses(s) {
			n++
		}
	}
	return n
}

// request sends one request through an instance.
func (w *World) request(at int) {
	w.Requests++
	w.try(at, nil, w.Now.Add(deadline))
}

// try sends a request to one server and settles what came of it.
func (w *World) try(at int, tried []*server, until time.Time) {
	i := w.instances[at]
	target := i.pick(tried)
	if target == nil {
		w.Failed++
		return
	}
	w.Tries++
	tried = append(append([]*server(nil), tried...), target)
	start := w.Now
	settled, ended := false, false
	settle := func(result counter.Result) {
		if !settled {
			settled = true
			i.observe(target, result, w.Now.Sub(start))
		}
	}
	finish := func(result counter.Result) {
		if ended {
			return
		}
		ended = true
		settle(result)
		i.end(target)
		w.conclude(at, i, tried, until, result)
	}
	i.begin(target)
	w.After(i.slowAfter(), func() {
		if !ended {
			settle(counter.ResultSlow)
		}
	})
	w.After(until.Sub(w.Now), func() { finish(counter.ResultLink) })
	target.arrive(at, finish)
}

// conclude ends a request or tries it again.
func (w *World) conclude(at int, i instance, tried []*server, until time.Time, result counter.Result) {
	switch result {
	case counter.ResultGood:
		i.success()
		return
	case counter.ResultBad:
		w.Bad++
	}
	if len(tried) < maxTries && w.Now.Before(until) && i.retry() {
		w.try(at, tried, until)
		return
	}
	w.Failed++
}

// event is something that happens at a time.
type event struct {
	at time.Time
	// serial keeps events of one time in the order they were made.
	serial uint64
	do     func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].serial < q[j].serial
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
