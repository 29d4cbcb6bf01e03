// Package measurer measures how a fleet detects and routes around faults. It
// runs the real control state, picker and retry budget of sixteen instances in
// virtual time against simulated servers with six slots each.
//
// It does not simulate a whole cluster: there are no sockets or processes, and the
// digests between instances are never lost. There are only request arrivals, servers
// with injected faults, and a virtual clock. The seed determines every run.
package measurer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"lagoonstile"
	"lagoonstile/counter"
)

// Deployment describes a service of one of the users.
type Deployment struct {
	Name    string
	Servers int
	// FalseEjectionsPerWeek is how many ejections of healthy servers the user
	// accepts.
	FalseEjectionsPerWeek float64
	// Floor is the minimum fraction of the servers that stay in use.
	Floor float64
}

// Consorzio and Mostpruefung are the lookup services of the two users.
var (
	Consorzio    = Deployment{Name: "consorzio", Servers: 8, FalseEjectionsPerWeek: 1, Floor: 0.5}
	Mostpruefung = Deployment{Name: "mostpruefung", Servers: 10, FalseEjectionsPerWeek: 0.001, Floor: 0.6}
)

// Policy is the algorithm by which instances choose servers.
type Policy string

// The policies.
const (
	// PolicyDaemon is the algorithm of the daemon.
	PolicyDaemon Policy = "ours"
	// PolicyNoGossip is PolicyDaemon without the exchange of digests between
	// instances.
	PolicyNoGossip Policy = "ours-alone"
	// PolicyRoundRobin is round robin with ejection of a server after five
	// consecutive failures.
	PolicyRoundRobin Policy = "round-robin"
)

// Sizes and times of the simulation.
const (
	instanceCount  = 16
	slotsPerServer = 6
	queueLimit     = 24
	// meanServiceTime is the mean service time of a healthy server.
	meanServiceTime = 20 * time.Millisecond
	deadline        = 2 * time.Second
	maxAttempts     = 4
	domainCount     = 3
	// checkInterval is the minimum time between two checks of the condition of
	// Run, and therefore the resolution of measured times.
	checkInterval = 10 * time.Millisecond
)

// Simulation is a discrete-event simulation of one service: its servers and the
// instances in front of them.
type Simulation struct {
	Now      time.Time
	random   *rand.Rand
	events   eventQueue
	sequence uint64

	deployment Deployment
	servers    []*server
	instances  []instance

	// Requests counts the requests of callers, Failed those that ended without a
	// good answer, and Attempts the requests that instances sent to servers.
	Requests, Failed, Attempts int
	// BadAnswers counts the bad answers that instances received from all servers.
	BadAnswers int
}

// instance is a proxy instance that follows one of the policies.
type instance interface {
	// pick returns a server that is not among those already tried, or nil if there
	// is none.
	pick(tried []*server) *server
	// begin and end mark the start and the end of a request to a server.
	begin(s *server)
	end(s *server)
	// observe records the result of a request.
	observe(s *server, result counter.Result, took time.Duration)
	// recordSuccess adds to the retry budget. takeRetry takes from it and reports
	// whether a retry is allowed.
	recordSuccess()
	takeRetry() bool
	// slowAfter returns the time after which an unanswered request is recorded
	// as slow.
	slowAfter() time.Duration
	// uses reports whether the instance sends ordinary traffic to the server.
	uses(s *server) bool
	// drained records that the server shed a request because it is leaving.
	drained(s *server)
}

// NewSimulation returns a simulation with the given seed and without load.
func NewSimulation(deployment Deployment, policy Policy, seed uint64) *Simulation {
	sim := &Simulation{
		Now:        time.Unix(1_000_000, 0),
		random:     rand.New(rand.NewPCG(seed, 17)),
		deployment: deployment,
	}
	for i := range deployment.Servers {
		sim.servers = append(sim.servers, newServer(sim, i))
	}
	switch policy {
	case PolicyRoundRobin:
		for i := range instanceCount {
			sim.instances = append(sim.instances, &roundRobinInstance{sim: sim, next: i, consecutiveFailures: map[*server]int{}, ejectedUntil: map[*server]time.Time{}})
		}
	default:
		sim.startControlledInstances(policy == PolicyDaemon)
	}
	return sim
}

func domainOf(i int) lagoonstile.FailureDomain {
	return lagoonstile.FailureDomain(fmt.Sprint("domain-", i%domainCount))
}

// StartLoad starts Poisson arrivals of requests at a mean rate, spread at random
// over the instances. They go on for the rest of the simulation.
func (sim *Simulation) StartLoad(perSecond float64) {
	var next func()
	next = func() {
		sim.request(sim.random.IntN(len(sim.instances)))
		sim.After(time.Duration(sim.random.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	sim.After(0, next)
}

// Capacity returns how many requests per second all servers together can answer.
func (sim *Simulation) Capacity() float64 {
	return float64(len(sim.servers)*slotsPerServer) / meanServiceTime.Seconds()
}

// Run advances the virtual time until the condition holds or the span is over,
// and reports whether it held. The condition is checked after events, at most
// once every checkInterval. A nil condition never holds.
func (sim *Simulation) Run(span time.Duration, condition func() bool) bool {
	end := sim.Now.Add(span)
	nextCheck := sim.Now
	for len(sim.events) > 0 && !sim.events[0].at.After(end) {
		next := heap.Pop(&sim.events).(event)
		sim.Now = next.at
		next.action()
		if condition == nil || sim.Now.Before(nextCheck) {
			continue
		}
		nextCheck = sim.Now.Add(checkInterval)
		if condition() {
			return true
		}
	}
	sim.Now = end
	return false
}

// After schedules an action at d from now.
func (sim *Simulation) After(d time.Duration, action func()) {
	sim.sequence++
	heap.Push(&sim.events, event{at: sim.Now.Add(d), sequence: sim.sequence, action: action})
}

// InstancesUsing returns how many instances send ordinary traffic to the server
// with the index.
func (sim *Simulation) InstancesUsing(index int) int {
	n := 0
	for _, i := range sim.instances {
		if i.uses(sim.servers[index]) {
			n++
		}
	}
	return n
}

// ServersInUse returns how many servers the instance with the index sends
// ordinary traffic to.
func (sim *Simulation) ServersInUse(instance int) int {
	n := 0
	for _, s := range sim.servers {
		if sim.instances[instance].uses(s) {
			n++
		}
	}
	return n
}

// request sends a new request through an instance.
func (sim *Simulation) request(from int) {
	sim.Requests++
	sim.attempt(from, nil, sim.Now.Add(deadline))
}

// attempt sends a request to one server. Its result is observed once: as slow after
// slowAfter if it has not ended by then, otherwise when it ends.
func (sim *Simulation) attempt(from int, tried []*server, expiry time.Time) {
	sender := sim.instances[from]
	target := sender.pick(tried)
	if target == nil {
		sim.Failed++
		return
	}
	sim.Attempts++
	tried = append(append([]*server(nil), tried...), target)
	start := sim.Now
	observed, ended := false, false
	observe := func(result counter.Result) {
		if !observed {
			observed = true
			sender.observe(target, result, sim.Now.Sub(start))
		}
	}
	finish := func(result counter.Result) {
		if ended {
			return
		}
		ended = true
		observe(result)
		sender.end(target)
		sim.finishOrRetry(from, sender, tried, expiry, result)
	}
	sender.begin(target)
	sim.After(sender.slowAfter(), func() {
		if !ended {
			observe(counter.ResultSlow)
		}
	})
	sim.After(expiry.Sub(sim.Now), func() { finish(counter.ResultLinkFailure) })
	target.handle(from, finish)
}

// finishOrRetry ends a request, or sends it to another server if the number of
// attempts, the deadline and the retry budget allow it.
func (sim *Simulation) finishOrRetry(from int, sender instance, tried []*server, expiry time.Time, result counter.Result) {
	switch result {
	case counter.ResultGood:
		sender.recordSuccess()
		return
	case counter.ResultBad:
		sim.BadAnswers++
	}
	if len(tried) < maxAttempts && sim.Now.Before(expiry) && sender.takeRetry() {
		sim.attempt(from, tried, expiry)
		return
	}
	sim.Failed++
}

// event is an action at a time.
type event struct {
	at time.Time
	// sequence orders events of the same time by when they were scheduled.
	sequence uint64
	action   func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].sequence < q[j].sequence
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
