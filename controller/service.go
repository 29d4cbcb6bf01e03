package controller

import (
	"time"

	"lagoonstile"
	"lagoonstile/admitter"
	"lagoonstile/counter"
	"lagoonstile/detector"
	"lagoonstile/ejector"
	"lagoonstile/gossiper"
	"lagoonstile/limiter"
	"lagoonstile/picker"
	"lagoonstile/retrier"
	"lagoonstile/router"
	"lagoonstile/scheduler"
)

// Timing of the slow limit.
const (
	// slowFactor times the service's mean answer time is slow. Cold servers
	// take a few times the mean and must not count.
	slowFactor = 8
	leastSlow  = 50 * time.Millisecond
	firstSlow  = 2 * time.Second
	// meanWeight is the weight of a tick's answers in the mean.
	meanWeight = 0.1
)

// service is the control state of one service.
type service struct {
	rules    *lagoonstile.Service
	near     lagoonstile.FailureDomain
	detector *detector.Service
	ejector  ejector.Service
	servers  map[lagoonstile.ServerID]*server
	// order lists the servers by id.
	order  []*server
	gate   *admitter.Gate
	budget *retrier.Budget
	// mean is the smoothed time of good answers; 0 before the first.
	mean  time.Duration
	entry *router.Entry
}

// server is the control state of one server.
type server struct {
	key gossiper.Key
	// target is what traffic sees; it is replaced, never modified.
	target *picker.Target
	limit  *limiter.Limit
	past   counter.Totals
	state  ejector.State
	// cutTold is when the audit trail was last told of a cut of the limit.
	cutTold time.Time
}

// cutInterval is how often the audit trail is told of cuts of one limit.
const cutInterval = 10 * time.Second

// cut is a limit that fell because its server shed requests.
type cut struct {
	server lagoonstile.ServerID
	shed   uint64
	limit  int
}

func newService(self lagoonstile.InstanceID) *service {
	return &service{
		detector: detector.New(self),
		servers:  make(map[lagoonstile.ServerID]*server),
	}
}

// configure takes new rules and servers. A server that moved to another
// address is another server.
func (v *service) configure(now time.Time, rules *lagoonstile.Service, near lagoonstile.FailureDomain) {
	if v.rules == rules {
		return
	}
	v.rules = rules
	v.near = near
	kept := make(map[lagoonstile.ServerID]*server, len(rules.Servers))
	ids := make([]lagoonstile.ServerID, 0, len(rules.Servers))
	v.order = v.order[:0]
	for _, config := range rules.Servers {
		next := v.servers[config.ID]
		if next == nil || next.target.Server != config {
			next = newServer(rules.ID, config)
		}
		kept[config.ID] = next
		ids = append(ids, config.ID)
		v.order = append(v.order, next)
	}
	v.forgetMoved(now, kept)
	v.servers = kept
	v.detector.SetServers(ids)
	v.ejector.SetServers(now, ids)
	if v.gate == nil {
		v.gate = admitter.New(v.capacity(), scheduler.DefaultShares)
		v.budget = retrier.New(rules.RetryShare)
	}
	v.budget.SetShare(rules.RetryShare)
	v.rebuild(v.initialDecisions())
}

// forgetMoved makes detector and ejector start anew for servers that are not
// the ones that they knew.
func (v *service) forgetMoved(now time.Time, kept map[lagoonstile.ServerID]*server) {
	var same []lagoonstile.ServerID
	for id, server := range kept {
		if v.servers[id] == server {
			same = append(same, id)
		}
	}
	if len(v.servers) > 0 {
		v.detector.SetServers(same)
		v.ejector.SetServers(now, same)
	}
}

func newServer(service lagoonstile.ServiceID, config lagoonstile.Server) *server {
	limit := limiter.New(config.Slots)
	return &server{
		key:    gossiper.ServerKey(service, config),
		target: &picker.Target{Server: config, Live: &counter.Server{}, Weight: 1, Limit: limit.Value()},
		limit:  limit,
		state:  ejector.StateInUse,
	}
}

// initialDecisions are those in force until the first tick.
func (v *service) initialDecisions() []ejector.Decision {
	decisions := make([]ejector.Decision, 0, len(v.order))
	for _, server := range v.order {
		decisions = append(decisions, ejector.Decision{Server: server.target.Server.ID, State: server.state, Weight: server.target.Weight})
	}
	return decisions
}

// tick decides on what observe has read. It reports whether the entry changed.
func (v *service) tick(now time.Time, notices map[lagoonstile.ServerID]ejector.Notice) (bool, []ejector.Change) {
	findings := v.detector.Evaluate(now, v.rules.FalseEjectionsPerWeek)
	decisions, changes := v.ejector.Update(now, v.rules.MinServers(), findings, notices, v.detector.Forgive)
	return v.rebuild(decisions), changes
}

// observe takes the counts since the last tick to the detector and limits, and
// returns the cuts of limits that the audit trail should be told of.
func (v *service) observe(now time.Time, self lagoonstile.InstanceID) []cut {
	var cuts []cut
	var good uint64
	var busy time.Duration
	for _, server := range v.order {
		totals := server.target.Live.Totals()
		delta := totals.Minus(server.past)
		server.past = totals
		period := limiter.Period{Answered: delta.Good + delta.Bad, Shed: delta.Shed, Peak: server.target.Live.TakePeak()}
		if server.limit.Update(period) && now.Sub(server.cutTold) >= cutInterval {
			server.cutTold = now
			cuts = append(cuts, cut{server: server.target.Server.ID, shed: delta.Shed, limit: server.limit.Value()})
		}
		if delta == (counter.Totals{}) {
			continue
		}
		good += delta.Good
		busy += delta.Busy
		v.detector.Observe(server.target.Server.ID, self, detector.Evidence{Good: delta.Good, Bad: delta.Bad, Slow: delta.Slow, Link: delta.Link})
	}
	if good > 0 {
		v.learnMean(busy / time.Duration(good))
	}
	return cuts
}

func (v *service) learnMean(mean time.Duration) {
	if v.mean == 0 {
		v.mean = mean
		return
	}
	v.mean += time.Duration(meanWeight * float64(mean-v.mean))
}

// slowAfter returns the slow limit that the mean calls for, in steps of an
// eighth, so that the table does not change with every answer.
func (v *service) slowAfter() time.Duration {
	if v.mean == 0 {
		return firstSlow
	}
	limit := max(slowFactor*v.mean, leastSlow)
	step := limit / 8
	for unit := time.Millisecond; ; unit *= 2 {
		if unit >= step {
			return limit / unit * unit
		}
	}
}

// rebuild makes the entry of the decisions, and reports whether it differs.
func (v *service) rebuild(decisions []ejector.Decision) bool {
	changed := v.entry == nil || v.entry.Service != v.rules || v.entry.SlowAfter != v.slowAfter()
	for _, decision := range decisions {
		if v.servers[decision.Server].decide(decision) {
			changed = true
		}
	}
	pool := v.pool()
	if !changed && samePool(pool, v.entry.Pool) {
		return false
	}
	v.entry = &router.Entry{Service: v.rules, Pool: pool, Gate: v.gate, Budget: v.budget, SlowAfter: v.slowAfter()}
	v.gate.Resize(v.capacity())
	return true
}

// decide sets state, weight and limit and reports whether any changed.
func (s *server) decide(decision ejector.Decision) bool {
	s.state = decision.State
	limit := s.limit.Value()
	if s.target.Weight == decision.Weight && s.target.Limit == limit {
		return false
	}
	next := *s.target
	next.Weight = decision.Weight
	next.Limit = limit
	s.target = &next
	return true
}

// pool lists the servers with a weight.
func (v *service) pool() *picker.Pool {
	pool := &picker.Pool{}
	for _, server := range v.order {
		if server.target.Weight <= 0 {
			continue
		}
		pool.Targets = append(pool.Targets, server.target)
		if server.target.Server.FailureDomain == v.near {
			pool.Near = append(pool.Near, server.target)
		}
	}
	return pool
}

func samePool(a, b *picker.Pool) bool {
	if len(a.Targets) != len(b.Targets) {
		return false
	}
	for i := range a.Targets {
		if a.Targets[i] != b.Targets[i] {
			return false
		}
	}
	return true
}

// capacity returns how many requests of this instance the servers take.
func (v *service) capacity() int {
	n := 0
	for _, server := range v.order {
		if server.target.Weight > 0 {
			n += server.target.Limit
		}
	}
	return max(n, 1)
}

// poor reports whether less than half of the servers can be used from here.
func (v *service) poor() bool {
	n := 0
	for _, server := range v.order {
		if server.target.Weight > 0 {
			n++
		}
	}
	return 2*n < len(v.order)
}

// report returns what this instance tells peers of the server.
func (s *server) report() gossiper.Report {
	return gossiper.Report{
		Key:      s.key,
		Good:     s.past.Good,
		Bad:      s.past.Bad + s.past.Slow,
		Draining: s.target.Live.Draining(),
		Ejected:  s.state == ejector.StateEjected,
	}
}
