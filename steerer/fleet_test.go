package steerer_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"lagoonstile"
	"lagoonstile/steerer"
)

// pattern is a load on one service of a fleet in virtual time.
type pattern struct {
	instances, servers int
	// perSecond gives the requests a second, and idempotent the share of them
	// that may be repeated.
	perSecond  func(at time.Duration) float64
	idempotent float64
	length     time.Duration
	// work is the mean time of a request at a server.
	work time.Duration
	// failing is the share of requests that any server fails beside its spells.
	failing float64
	// shedding is the share that any server refuses.
	shedding func(at time.Duration) float64
	// spells is off for servers that are always sound.
	noSpells bool
}

// figures are what a pattern gave.
type figures struct {
	requests, failed, unplaced, orders, ordersLost int
	// waits are the times until a server was found.
	waits []time.Duration
	// floorBroken counts the looks at which too few sound servers were used while
	// requests went unserved.
	floorBroken int
	shed, sends int
}

func (f *figures) add(g figures) {
	f.requests += g.requests
	f.failed += g.failed
	f.unplaced += g.unplaced
	f.orders += g.orders
	f.ordersLost += g.ordersLost
	f.waits = append(f.waits, g.waits...)
	f.floorBroken += g.floorBroken
	f.shed += g.shed
	f.sends += g.sends
}

func (f figures) String() string {
	return fmt.Sprintf("requests %d, failed %d, unplaced %d; orders %d, lost %d (%.4f); sends %d, shed %d; waits over 0.5 s %d; floor broken %d",
		f.requests, f.failed, f.unplaced, f.orders, f.ordersLost, float64(f.ordersLost)/float64(max(f.orders, 1)), f.sends, f.shed, f.waitsOver(500*time.Millisecond), f.floorBroken)
}

func (f figures) waitsOver(limit time.Duration) int {
	n := 0
	for _, wait := range f.waits {
		if wait > limit {
			n++
		}
	}
	return n
}

// Delays of the model, and the servers' spells of faults.
const (
	toServer   = 400 * time.Microsecond
	toPeer     = 600 * time.Microsecond
	beat       = 300 * time.Millisecond
	repeatFor  = 750 * time.Millisecond
	tickEvery  = 20 * time.Millisecond
	patience   = 4 * time.Second
	failsAfter = time.Millisecond
	soundFor   = 14 * time.Second
	queueLen   = 24
	slots      = 6
	mostSends  = 3
)

// fleetModel is the fleet while a pattern plays.
type fleetModel struct {
	pattern
	random  *rand.Rand
	now     time.Duration
	events  eventHeap
	serial  int
	nodes   []*modelNode
	servers []*modelServer
	figures figures
	// ends are the ends of requests, for the floor.
	ends []modelEnd
}

type modelNode struct {
	service *steerer.Service
	peer    steerer.Peer
	waiting map[*steerer.Ticket]*modelRequest
}

type modelServer struct {
	id         lagoonstile.ServerID
	faulty     bool
	running    int
	queue      []func()
	arrivals   []time.Duration
	failedAt   time.Duration
	everFailed bool
}

type modelRequest struct {
	arrived    time.Duration
	idempotent bool
	sends      int
	tried      []*steerer.Server
}

type modelEnd struct {
	at     time.Duration
	served bool
}

type event struct {
	at     time.Duration
	serial int
	do     func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(a, b int) bool {
	return h[a].at < h[b].at || (h[a].at == h[b].at && h[a].serial < h[b].serial)
}
func (h eventHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// play runs a pattern and returns its figures.
func play(p pattern, seed uint64) figures {
	m := &fleetModel{pattern: p, random: rand.New(rand.NewPCG(seed, seed))}
	var all []lagoonstile.Backend
	for n := range p.servers {
		b := backend(n, lagoonstile.FailureDomain(fmt.Sprint("zone-", n%3)))
		all = append(all, b)
		s := &modelServer{id: b.ID, faulty: !p.noSpells && m.random.Float64() < 0.3}
		m.servers = append(m.servers, s)
		if !p.noSpells {
			m.after(time.Duration(m.random.Float64()*float64(10*time.Second)), func() { m.turn(s) })
		}
	}
	for n := range p.instances {
		zone := lagoonstile.FailureDomain(fmt.Sprint("zone-", n%3))
		node := &modelNode{
			service: steerer.New(steerer.DefaultRules, zone, rand.New(rand.NewPCG(seed, uint64(n)))),
			peer:    steerer.Peer{Instance: lagoonstile.InstanceID(fmt.Sprint("i", n)), Incarnation: "1"},
			waiting: make(map[*steerer.Ticket]*modelRequest),
		}
		node.service.SetBackends(start.Add(-time.Second), all)
		node.service.SetFleet(steerer.Fleet{Place: n, Size: p.instances})
		m.nodes = append(m.nodes, node)
		m.after(time.Duration(n)*beat/time.Duration(p.instances), func() { m.beat(node) })
		m.after(time.Duration(n)*time.Millisecond, func() { m.tick(node) })
	}
	m.after(0, m.arrive)
	m.after(4*time.Second, m.lookAtFloor)
	for len(m.events) > 0 && m.now < p.length {
		next := heap.Pop(&m.events).(event)
		m.now = next.at
		next.do()
	}
	return m.figures
}

func (m *fleetModel) after(d time.Duration, do func()) {
	m.serial++
	heap.Push(&m.events, event{at: m.now + d, serial: m.serial, do: do})
}

func (m *fleetModel) time() time.Time { return start.Add(m.now) }

// turn starts or ends a spell of a server.
func (m *fleetModel) turn(s *modelServer) {
	s.faulty = !s.faulty
	if s.faulty {
		m.after(4*time.Second+time.Duration(m.random.Float64()*float64(4*time.Second)), func() { m.turn(s) })
		return
	}
	m.after(time.Duration(m.random.ExpFloat64()*float64(soundFor)), func() { m.turn(s) })
}

func (m *fleetModel) beat(node *modelNode) {
	m.tell(node, node.service.Reports(m.time().Add(-repeatFor)))
	m.after(beat, func() { m.beat(node) })
}

func (m *fleetModel) tell(from *modelNode, reports []steerer.Report) {
	for _, to := range m.nodes {
		if to == from {
			continue
		}
		m.after(toPeer, func() {
			for _, report := range reports {
				_, granted := to.service.Hear(m.time(), from.peer, report)
				m.granted(to, granted)
			}
		})
	}
}

func (m *fleetModel) tick(node *modelNode) {
	m.granted(node, node.service.Tick(m.time()))
	m.after(tickEvery, func() { m.tick(node) })
}

func (m *fleetModel) arrive() {
	rate := m.perSecond(m.now)
	m.after(time.Duration(m.random.ExpFloat64()/rate*float64(time.Second)), m.arrive)
	m.figures.requests++
	r := &modelRequest{arrived: m.now, idempotent: m.random.Float64() < m.idempotent}
	if !r.idempotent {
		m.figures.orders++
	}
	m.offer(m.nodes[m.random.IntN(len(m.nodes))], r)
}

// offer asks the node's steerer for a server.
func (m *fleetModel) offer(node *modelNode, r *modelRequest) {
	ticket := &steerer.Ticket{
		Idempotent: r.idempotent, Arrived: start.Add(r.arrived), Until: start.Add(r.arrived + patience - 150*time.Millisecond),
		Tried: r.tried, Granted: make(chan struct{}, 1),
	}
	r.sends++
	if node.service.Arrive(m.time(), ticket) {
		m.send(node, ticket, r)
		return
	}
	node.waiting[ticket] = r
	m.after(ticket.Until.Sub(m.time()), func() {
		if node.service.Cancel(ticket) {
			delete(node.waiting, ticket)
			m.figures.unplaced++
			m.end(r, false)
		}
	})
}

func (m *fleetModel) granted(node *modelNode, tickets []*steerer.Ticket) {
	for _, ticket := range tickets {
		r := node.waiting[ticket]
		delete(node.waiting, ticket)
		m.send(node, ticket, r)
	}
}

// send takes a granted request to its server.
func (m *fleetModel) send(node *modelNode, ticket *steerer.Ticket, r *modelRequest) {
	m.figures.sends++
	m.figures.waits = append(m.figures.waits, m.now-r.arrived)
	r.tried = append(r.tried, ticket.Server)
	began := m.now
	server := m.servers[indexOf(ticket.Server)]
	done := false
	m.after(node.service.Slow(), func() {
		if !done {
			node.service.Overdue(m.time(), ticket.Server)
			m.tell(node, []steerer.Report{ticket.Server.Report()})
		}
	})
	settle := func(outcome steerer.Outcome) {
		m.after(toServer, func() {
			done = true
			m.settle(node, ticket, r, outcome, m.now-began)
		})
	}
	m.after(toServer, func() { m.reach(server, settle) })
}

// reach is a request at a server.
func (m *fleetModel) reach(s *modelServer, settle func(steerer.Outcome)) {
	s.arrivals = append(s.arrivals, m.now)
	if len(s.queue) >= queueLen || (m.shedding != nil && m.random.Float64() < m.shedding(m.now)) {
		m.figures.shed++
		settle(steerer.OutcomeShed)
		return
	}
	run := func() {
		s.running++
		bad := m.random.Float64() < m.failing || (s.faulty && m.random.Float64() < 0.75)
		took := time.Duration(math.Exp(0.5*m.random.NormFloat64()-0.125) * float64(m.work))
		if m.random.Float64() < 0.01 {
			took *= 5
		}
		if bad {
			took = failsAfter
		}
		m.after(took, func() {
			outcome := steerer.OutcomeGood
			if bad {
				outcome = steerer.OutcomeBad
				s.failedAt, s.everFailed = m.now, true
			}
			settle(outcome)
			s.running--
			if len(s.queue) > 0 {
				next := s.queue[0]
				s.queue = s.queue[1:]
				next()
			}
		})
	}
	if s.running < slots {
		run()
		return
	}
	s.queue = append(s.queue, run)
}

func (m *fleetModel) settle(node *modelNode, ticket *steerer.Ticket, r *modelRequest, outcome steerer.Outcome, took time.Duration) {
	m.granted(node, node.service.Settle(m.time(), ticket.Server, outcome, took))
	if outcome == steerer.OutcomeBad {
		m.tell(node, []steerer.Report{ticket.Server.Report()})
	}
	again := outcome == steerer.OutcomeShed || (outcome == steerer.OutcomeBad && r.idempotent)
	switch {
	case outcome == steerer.OutcomeGood:
		m.end(r, true)
	case again && r.sends < mostSends && m.now-r.arrived < patience-200*time.Millisecond:
		m.offer(node, r)
	default:
		m.figures.failed++
		m.end(r, false)
	}
}

func (m *fleetModel) end(r *modelRequest, served bool) {
	m.ends = append(m.ends, modelEnd{at: m.now, served: served})
	if !served && !r.idempotent {
		m.figures.ordersLost++
	}
}

// lookAtFloor holds the last 2 s against the floor: of the servers that did not
// fail of late, 7 in 10 get work, if a tenth to a half of the requests go
// unserved.
func (m *fleetModel) lookAtFloor() {
	m.after(100*time.Millisecond, m.lookAtFloor)
	since := m.now - 2*time.Second
	sound, used := 0, 0
	for _, s := range m.servers {
		if s.everFailed && s.failedAt > since {
			continue
		}
		sound++
		if len(s.arrivals) > 0 && s.arrivals[len(s.arrivals)-1] > since {
			used++
		}
	}
	all, unserved := 0, 0
	for i := len(m.ends) - 1; i >= 0 && m.ends[i].at > since; i-- {
		all++
		if !m.ends[i].served {
			unserved++
		}
	}
	strained := 10*unserved > all && 2*unserved < all
	if strained && used > 0 && float64(used) < 0.7*float64(sound) {
		m.figures.floorBroken++
	}
}

func indexOf(server *steerer.Server) int {
	n := 0
	_, _ = fmt.Sscanf(string(server.Backend.ID), "s%d", &n)
	return n
}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// burst is a load that rises to more than twice for 6 s.
func burst(at time.Duration) float64 {
	if at > 8*time.Second && at < 14*time.Second {
		return 170
	}
	return 70
}

// shedHalf has servers refuse over half of their work for 8 s.
func shedHalf(at time.Duration) float64 {
	if at > 5*time.Second && at < 13*time.Second {
		return 0.55
	}
	return 0
}

// ordersOf is a load of orders on the servers of the smaller site.
func ordersOf(rate func(time.Duration) float64, failing float64) pattern {
	return pattern{instances: 15, servers: 17, perSecond: rate, length: 30 * time.Second, work: 480 * time.Millisecond, failing: failing}
}

var lookups = pattern{
	instances: 15, servers: 8, perSecond: steady(25), idempotent: 1,
	length: 30 * time.Second, work: 640 * time.Millisecond, failing: 0.012,
}

// playAll plays a pattern with several seeds.
func playAll(p pattern, seeds int) figures {
	runs := make([]figures, seeds)
	var group sync.WaitGroup
	for seed := range runs {
		group.Go(func() { runs[seed] = play(p, uint64(seed)+1) })
	}
	group.Wait()
	var sum figures
	for _, f := range runs {
		sum.add(f)
	}
	return sum
}

// TestLookupsGoAroundSpells is a calm load of requests that may be repeated, on
// servers of which three in ten fail most of their work at any time.
func TestLookupsGoAroundSpells(t *testing.T) {
	f := playAll(lookups, 4)
	if served := 1 - float64(f.failed+f.unplaced)/float64(f.requests); served < 0.97 {
		t.Errorf("%.4f served, want 0.97: %v", served, f)
	}
	if repeats := float64(f.sends-f.requests) / float64(f.requests); repeats > 0.2 {
		t.Errorf("%.3f repeats a request, the budget is 0.2", repeats)
	}
}

// TestOrdersFailByNoFaultOfTheFleet is a load of orders on servers without
// spells: all are placed, and only what the servers fail by chance is lost.
func TestOrdersFailByNoFaultOfTheFleet(t *testing.T) {
	p := ordersOf(steady(45), 0.012)
	p.noSpells = true
	f := playAll(p, 4)
	if lost := float64(f.ordersLost) / float64(f.orders); f.unplaced > 0 || lost > 0.03 {
		t.Errorf("%.4f of the orders lost, want 0.03: %v", lost, f)
	}
}

// BenchmarkFleet plays loads and reports the orders lost and the requests that
// waited for over half a second, in a hundred.
func BenchmarkFleet(b *testing.B) {
	shedding := ordersOf(steady(70), 0.012)
	shedding.shedding = shedHalf
	for _, c := range []struct {
		name string
		pattern
	}{
		{"calm", ordersOf(steady(45), 0.012)},
		{"busy", ordersOf(steady(90), 0.012)},
		{"burst", ordersOf(burst, 0.012)},
		{"all-fail-some", ordersOf(steady(60), 0.15)},
		{"all-shed-half", shedding},
		{"lookups", lookups},
	} {
		b.Run(c.name, func(b *testing.B) {
			for range b.N {
				f := playAll(c.pattern, 12)
				b.ReportMetric(100*float64(f.ordersLost)/float64(max(f.orders, 1)), "%lost")
				b.ReportMetric(100*float64(f.waitsOver(500*time.Millisecond))/float64(f.requests), "%waited")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}
