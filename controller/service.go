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

// Parameters of the slow limit, the time after which a request counts as slow.
const (
	// slowLatencyFactor is the slow limit as a multiple of the service's mean
	// latency. Cold servers take a few times the mean, which must not count as
	// slow.
	slowLatencyFactor = 8
	minSlowAfter      = 50 * time.Millisecond
	// initialSlowAfter applies until the first good answer.
	initialSlowAfter = 2 * time.Second
	// latencySmoothing is the weight of one tick's mean in the smoothed mean.
	latencySmoothing = 0.1
)

// service is the control state of one service.
type service struct {
	rules       *lagoonstile.Service
	localDomain lagoonstile.FailureDomain
	detector    *detector.Service
	ejector     ejector.Service
	servers     map[lagoonstile.ServerID]*server
	// order lists the servers by id.
	order  []*server
	gate   *admitter.Gate
	budget *retrier.Budget
	// meanLatency is the smoothed mean latency of good answers, or 0 before the
	// first one.
	meanLatency time.Duration
	entry       *router.Entry
}

// server is the control state of one server.
type server struct {
	key gossiper.Key
	// target is shared with traffic goroutines, so it is replaced and never
	// modified.
	target     *picker.Target
	limit      *limiter.Limit
	lastTotals counter.Totals
	state      ejector.State
	// cutReportedAt is when a reduction of the limit was last recorded in the audit
	// trail.
	cutReportedAt time.Time
}

// cutReportInterval is the minimum time between audit events about reductions of
// the same limit.
const cutReportInterval = 10 * time.Second

// limitCut describes a limit that was reduced because its server shed requests.
type limitCut struct {
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

// configure applies new rules and a new list of servers. A server whose
// configuration changed, for example its address, is treated as a new server.
func (s *service) configure(now time.Time, rules *lagoonstile.Service, localDomain lagoonstile.FailureDomain) {
	if s.rules == rules {
		return
	}
	s.rules = rules
	s.localDomain = localDomain
	kept := make(map[lagoonstile.ServerID]*server, len(rules.Servers))
	ids := make([]lagoonstile.ServerID, 0, len(rules.Servers))
	s.order = s.order[:0]
	for _, config := range rules.Servers {
		next := s.servers[config.ID]
		if next == nil || next.target.Server != config {
			next = newServer(rules.ID, config)
		}
		kept[config.ID] = next
		ids = append(ids, config.ID)
		s.order = append(s.order, next)
	}
	s.resetReplaced(now, kept)
	s.servers = kept
	s.detector.SetServers(ids)
	s.ejector.SetServers(now, ids)
	if s.gate == nil {
		s.gate = admitter.New(s.capacity(), scheduler.DefaultShares)
		s.budget = retrier.New(rules.RetryShare)
	}
	s.budget.SetShare(rules.RetryShare)
	s.rebuildEntry(s.currentDecisions())
}

// resetReplaced discards the state of the detector and the ejector for servers
// whose id remains but whose configuration changed.
func (s *service) resetReplaced(now time.Time, kept map[lagoonstile.ServerID]*server) {
	var unchanged []lagoonstile.ServerID
	for id, server := range kept {
		if s.servers[id] == server {
			unchanged = append(unchanged, id)
		}
	}
	if len(s.servers) > 0 {
		s.detector.SetServers(unchanged)
		s.ejector.SetServers(now, unchanged)
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

// currentDecisions returns decisions that keep the current state and weight of
// every server until the next tick.
func (s *service) currentDecisions() []ejector.Decision {
	decisions := make([]ejector.Decision, 0, len(s.order))
	for _, server := range s.order {
		decisions = append(decisions, ejector.Decision{Server: server.target.Server.ID, State: server.state, Weight: server.target.Weight})
	}
	return decisions
}

// tick evaluates the evidence that observe has collected and returns whether the
// entry changed and which servers changed state.
func (s *service) tick(now time.Time, notices map[lagoonstile.ServerID]ejector.Notice) (bool, []ejector.Transition) {
	findings := s.detector.Evaluate(now, s.rules.FalseEjectionsPerWeek)
	decisions, transitions := s.ejector.Update(now, s.rules.MinServers(), findings, notices, s.detector.Reset)
	return s.rebuildEntry(decisions), transitions
}

// observe passes the counts since the last tick to the detector and the limits.
// It returns the reductions of limits that are due for an audit event.
func (s *service) observe(now time.Time, self lagoonstile.InstanceID) []limitCut {
	var cuts []limitCut
	var good uint64
	var goodDuration time.Duration
	for _, server := range s.order {
		totals := server.target.Live.Totals()
		delta := totals.Sub(server.lastTotals)
		server.lastTotals = totals
		period := limiter.Period{Answered: delta.Good + delta.Bad, Shed: delta.Shed, Peak: server.target.Live.TakePeak()}
		if server.limit.Update(period) && now.Sub(server.cutReportedAt) >= cutReportInterval {
			server.cutReportedAt = now
			cuts = append(cuts, limitCut{server: server.target.Server.ID, shed: delta.Shed, limit: server.limit.Value()})
		}
		if delta == (counter.Totals{}) {
			continue
		}
		good += delta.Good
		goodDuration += delta.GoodDuration
		s.detector.Observe(server.target.Server.ID, self, detector.Evidence{Good: delta.Good, Bad: delta.Bad, Slow: delta.Slow, LinkFailures: delta.LinkFailures})
	}
	if good > 0 {
		s.updateMeanLatency(goodDuration / time.Duration(good))
	}
	return cuts
}

func (s *service) updateMeanLatency(mean time.Duration) {
	if s.meanLatency == 0 {
		s.meanLatency = mean
		return
	}
	s.meanLatency += time.Duration(latencySmoothing * float64(mean-s.meanLatency))
}

// slowAfter returns the slow limit for the current mean latency. The limit is
// rounded down to a multiple of a step, which is an eighth to a quarter of it, so
// that the table does not change with every answer.
func (s *service) slowAfter() time.Duration {
	if s.meanLatency == 0 {
		return initialSlowAfter
	}
	limit := max(slowLatencyFactor*s.meanLatency, minSlowAfter)
	step := limit / 8
	for unit := time.Millisecond; ; unit *= 2 {
		if unit >= step {
			return limit / unit * unit
		}
	}
}

// rebuildEntry applies the decisions, replaces the entry if anything changed and
// reports whether it did.
func (s *service) rebuildEntry(decisions []ejector.Decision) bool {
	changed := s.entry == nil || s.entry.Service != s.rules || s.entry.SlowAfter != s.slowAfter()
	for _, decision := range decisions {
		if s.servers[decision.Server].apply(decision) {
			changed = true
		}
	}
	pool := s.pool()
	if !changed && samePool(pool, s.entry.Pool) {
		return false
	}
	s.entry = &router.Entry{Service: s.rules, Pool: pool, Gate: s.gate, Budget: s.budget, SlowAfter: s.slowAfter()}
	s.gate.Resize(s.capacity())
	return true
}

// apply sets the state, weight and limit of the server and reports whether the
// weight or the limit changed.
func (s *server) apply(decision ejector.Decision) bool {
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

// pool returns the servers with a weight above zero.
func (s *service) pool() *picker.Pool {
	pool := &picker.Pool{}
	for _, server := range s.order {
		if server.target.Weight <= 0 {
			continue
		}
		pool.Targets = append(pool.Targets, server.target)
		if server.target.Server.FailureDomain == s.localDomain {
			pool.SameDomain = append(pool.SameDomain, server.target)
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

// capacity returns the number of concurrent requests that this instance may send
// to the servers in use. It is at least 1.
func (s *service) capacity() int {
	n := 0
	for _, server := range s.order {
		if server.target.Weight > 0 {
			n += server.target.Limit
		}
	}
	return max(n, 1)
}

// degraded reports whether this instance uses fewer than half of the servers.
func (s *service) degraded() bool {
	n := 0
	for _, server := range s.order {
		if server.target.Weight > 0 {
			n++
		}
	}
	return 2*n < len(s.order)
}

// report returns this instance's report on the server for its peers.
func (s *server) report() gossiper.Report {
	return gossiper.Report{
		Key:      s.key,
		Good:     s.lastTotals.Good,
		Bad:      s.lastTotals.Bad + s.lastTotals.Slow,
		Draining: s.target.Live.Draining(),
		Ejected:  s.state == ejector.StateEjected,
	}
}
