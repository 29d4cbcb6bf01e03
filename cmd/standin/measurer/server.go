package measurer

import (
	"fmt"
	"time"

	"lagoonstile"
	"lagoonstile/counter"
	"lagoonstile/picker"
)

// server is a simulated server with slots, a queue and injected faults.
type server struct {
	sim    *Simulation
	index  int
	config lagoonstile.Server
	// target identifies the server to the picker, which excludes the servers that a
	// request has already tried.
	target *picker.Target

	// badShare is the share of its requests that it answers with an error.
	badShare float64
	// slowdown multiplies the service time; 1 is healthy.
	slowdown float64
	// answersLost holds the indexes of instances that its answers do not reach.
	answersLost map[int]bool
	// down makes the server refuse connections.
	down bool
	// leaving makes the server shed new requests because it drains.
	leaving bool
	// firstShed and lastShed are the arrival times of the first and the last
	// request that the server shed because it was leaving.
	firstShed, lastShed time.Time

	// busy is the number of slots in use, and queue holds the requests that wait
	// for one.
	busy  int
	queue []func()
	// counters holds the counters that each instance keeps for the server.
	counters map[*controlledInstance]*counter.Server
}

func newServer(sim *Simulation, index int) *server {
	config := lagoonstile.Server{
		ID:            lagoonstile.ServerID(fmt.Sprintf("server-%02d", index)),
		Address:       fmt.Sprintf("10.0.0.%d:80", index+1),
		FailureDomain: domainOf(index),
		Slots:         slotsPerServer,
	}
	return &server{
		sim: sim, index: index, config: config, target: &picker.Target{Server: config},
		slowdown: 1, answersLost: map[int]bool{}, counters: map[*controlledInstance]*counter.Server{},
	}
}

// refusalTime is how long it takes to refuse a connection, to shed a request, or to
// answer with an error.
const refusalTime = time.Millisecond

// handle accepts, queues or sheds a request of the instance with the index
// from, and answers it later.
func (s *server) handle(from int, answer func(counter.Result)) {
	switch {
	case s.down:
		s.sim.After(refusalTime, func() { answer(counter.ResultLinkFailure) })
	case s.leaving:
		s.lastShed = s.sim.Now
		if s.firstShed.IsZero() {
			s.firstShed = s.sim.Now
		}
		s.sim.After(refusalTime, func() {
			s.sim.instances[from].drained(s)
			answer(counter.ResultShed)
		})
	case s.busy >= slotsPerServer && len(s.queue) >= queueLimit:
		s.sim.After(refusalTime, func() { answer(counter.ResultShed) })
	default:
		s.queue = append(s.queue, func() { s.run(from, answer) })
		s.startQueued()
	}
}

// startQueued starts queued requests while there are free slots.
func (s *server) startQueued() {
	for s.busy < slotsPerServer && len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		s.busy++
		next()
	}
}

// run answers one request and frees its slot after the service time, which is
// uniform between 0.5 and 1.5 times meanServiceTime, times the slowdown. An error
// answer takes refusalTime instead.
func (s *server) run(from int, answer func(counter.Result)) {
	random := s.sim.random
	took := time.Duration((0.5 + random.Float64()) * s.slowdown * float64(meanServiceTime))
	result := counter.ResultGood
	if random.Float64() < s.badShare {
		result = counter.ResultBad
		took = refusalTime
	}
	s.sim.After(took, func() {
		s.busy--
		if !s.answersLost[from] {
			answer(result)
		}
		s.startQueued()
	})
}
