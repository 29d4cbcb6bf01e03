package measurer

import (
	"fmt"
	"time"

	"lagoonstile"
	"lagoonstile/counter"
	"lagoonstile/picker"
)

// server is a fake server with slots, a queue and one way to fail.
type server struct {
	world  *World
	index  int
	config lagoonstile.Server
	// target stands for the server among those that were tried.
	target *picker.Target

	// badShare is the share of its work that it fails.
	badShare float64
	// factor times its work is how long it takes.
	factor float64
	// cut lists instances that its answers do not reach.
	cut map[int]bool
	// down refuses connections.
	down bool
	// leaving refuses new work since the given time.
	leaving bool
	// refused says when leaving was first told, and lastWork when work last
	// came after that.
	refused, lastWork time.Time

	busy  int
	queue []func()
	// lives holds the counts that each instance keeps of the server.
	lives map[*controlled]*counter.Server
}

func newServer(w *World, index int) *server {
	config := lagoonstile.Server{
		ID:            lagoonstile.ServerID(fmt.Sprintf("server-%02d", index)),
		Address:       fmt.Sprintf("10.0.0.%d:80", index+1),
		FailureDomain: domainOf(index),
		Slots:         slots,
	}
	return &server{
		world: w, index: index, config: config, target: &picker.Target{Server: config},
		factor: 1, cut: map[int]bool{}, lives: map[*controlled]*counter.Server{},
	}
}

// refusal is how long a refused connection or request takes.
const refusal = time.Millisecond

// arrive takes a request of an instance and answers it later.
func (s *server) arrive(at int, answer func(counter.Result)) {
	switch {
	case s.down:
		s.world.After(refusal, func() { answer(counter.ResultLink) })
	case s.leaving:
		s.lastWork = s.world.Now
		if s.refused.IsZero() {
			s.refused = s.world.Now
		}
		s.world.After(refusal, func() {
			s.world.instances[at].drained(s)
			answer(counter.ResultShed)
		})
	case s.busy >= slots && len(s.queue) >= queueMost:
		s.world.After(refusal, func() { answer(counter.ResultShed) })
	default:
		s.queue = append(s.queue, func() { s.run(at, answer) })
		s.start()
	}
}

// start runs queued requests while there are free slots.
func (s *server) start() {
	for s.busy < slots && len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		s.busy++
		next()
	}
}

func (s *server) run(at int, answer func(counter.Result)) {
	random := s.world.random
	took := time.Duration((0.5 + random.Float64()) * s.factor * float64(work))
	result := counter.ResultGood
	if random.Float64() < s.badShare {
		result = counter.ResultBad
		took = refusal
	}
	s.world.After(took, func() {
		s.busy--
		if !s.cut[at] {
			answer(result)
		}
		s.start()
	})
}
