// Package detector finds the failing servers of a service from the answers and
// link failures that the instances observe.
//
// # The test
//
// The score of a server is the cumulative log-likelihood ratio of two
// hypotheses about its answers: that it fails far more often than the service's
// other servers, and that it fails as often as they do (a CUSUM test: E. S.
// Page, "Continuous Inspection Schemes", Biometrika 41, 1954). A bad answer
// raises the score by a large step and a good answer lowers it by a small one. A
// score at or below zero resets the test. The answers since the last reset are
// called an excursion.
//
// For such a test the mean number of answers between two false alarms is at
// least e to the power of the threshold (G. Lorden, "Procedures for Reacting to
// a Change in Distribution", Annals of Mathematical Statistics 42, 1971). The
// threshold therefore follows from the false ejections per week that the
// operator accepts: it is the logarithm of the answers per week divided by that
// number. A quiet service needs fewer bad answers to find a failing server than
// a busy one.
//
// # The baseline
//
// The baseline of a server is the mean failure rate of the other servers, in
// which each server has the same weight. Weighting by answers would be wrong: a
// server that rejects requests immediately has a low latency, attracts more
// traffic for this reason, and would outweigh the healthy ones.
//
// The baseline is the largest of a long, a short and a fast average. When a bad
// caller, a bad class of requests or a shared dependency causes failures on all
// servers, the short and the fast average rise within a few answers, so that no
// single server is blamed for them.
//
// The baseline is also at least the failure rate of the other servers since the
// excursion began. The score of the whole excursion is recomputed with it at
// each evaluation. Failures that looked unusual when they occurred therefore no
// longer count once all servers show them, and failures that were common count
// again once the other servers have recovered.
//
// # Two kinds of evidence
//
// Answers, including errors, truncated answers and late ones, are evidence about
// the server. They are merged over all instances. A server whose score reaches
// the threshold is found failing if two instances saw bad answers, or if one did
// and the good answers of the others do not contradict it. Link failures are
// evidence about a network path. They count only for the instance that saw them.
package detector

import (
	"math"
	"time"

	"lagoonstile"
)

// Origin identifies the instance that observed evidence.
type Origin = lagoonstile.InstanceID

// Evidence counts what one origin observed of one server since its previous
// evidence.
type Evidence struct {
	// Good and Bad count answers.
	Good, Bad uint64
	// Slow counts requests that were unanswered at the slow limit. They count
	// both as bad answers of the server and as failures of the path, because
	// it is not yet known whether an answer will come.
	Slow uint64
	// LinkFailures counts failures of the network path.
	LinkFailures uint64
}

// Parameters of the test.
const (
	// failingRate is the share of bad answers assumed for a failing server.
	// Servers that fail a third as often are found too, but later.
	failingRate = 0.5
	// minBaseline is the lowest failure rate assumed for healthy servers.
	minBaseline = 0.001
	// linkBaseline and linkFailingRate are the corresponding rates of link
	// failures on a healthy and on a failing path.
	linkBaseline    = 0.001
	linkFailingRate = 0.9
	// priorAnswers is the number of answers with a failure rate of minBaseline
	// that is added to the long and short averages.
	priorAnswers = 20
	// fastPriorAnswers is the same for the fast average. It is small because the
	// fast average must show a burst of failures on all servers before the first
	// of them reaches the threshold.
	fastPriorAnswers = 2
	// The half-lives of the averages.
	fastHalfLife  = 2 * time.Second
	shortHalfLife = 5 * time.Second
	longHalfLife  = 30 * time.Minute
	// shortMinAnswers is the number of answers that the short average keeps
	// regardless of their age.
	shortMinAnswers = 100
	// rateTimeConstant is the time constant of the smoothed answer rate from which
	// the threshold is computed.
	rateTimeConstant = 10 * time.Minute
	// minAnswerRate is the lowest answer rate used for the threshold, in answers
	// per second. It keeps the threshold meaningful for an idle service.
	minAnswerRate = 0.1
	week          = 7 * 24 * time.Hour
	// contradictingAnswers is the number of good answers of other origins that
	// outweighs the evidence of a single one. A server that fails half of its
	// requests gives 5 good answers in a row with a probability of 1 in 32.
	contradictingAnswers = 5
	// recentGoodHalfLife is the half-life of the good answers that contradict an
	// origin. It covers the time between two reports of an origin's good
	// answers. Bad answers are reported immediately, so the good answers reported
	// earlier must stand in for those not reported yet.
	recentGoodHalfLife = 2 * time.Second
	// steerThresholdShare is the share of the threshold at which an instance
	// temporarily routes around a server on its own evidence. It is below 1
	// because a wrong decision costs little.
	steerThresholdShare = 0.7
	// activeWindow is how long a server without new answers counts towards the
	// baseline.
	activeWindow = 10 * time.Second
	// minAnswersForMean is the number of answers of the other servers below which
	// their answers are pooled. From this number on, each server has the same
	// weight.
	minAnswersForMean = 200
)

// Service runs the test for the servers of one service. It is not safe for
// concurrent use.
type Service struct {
	self    Origin
	servers map[lagoonstile.ServerID]*server
	// order lists the servers in the order of SetServers, for loops whose result
	// must be deterministic.
	order []*server
	// rate is the smoothed rate of all answers, in answers per second.
	rate float64
	// started and updated are the times of the first and the last evaluation.
	started time.Time
	updated time.Time
}

// server is the state of the test for one server.
type server struct {
	id lagoonstile.ServerID
	// merged counts the answers of the current excursion from all origins, own
	// the answers that this instance saw, and link the successes and failures of
	// this instance's path. Each of the three is reset by its own score.
	merged, own excursion
	link        excursion
	// streak counts good answers since the last bad one or call of Reset.
	streak uint64
	// byOrigin splits merged by origin. recentGood holds each origin's count of
	// good answers, which decays with recentGoodHalfLife.
	byOrigin   map[Origin]excursion
	recentGood map[Origin]float64
	// lastAnswer is the time of the evaluation that saw the last answer.
	lastAnswer time.Time
	// long, short and fast are decaying counts, from which the averages for the
	// baseline are computed. They include the answers given during a trial.
	long, short, fast counts
	// all counts every answer, and allBefore is its value before the current
	// evaluation.
	all, allBefore counts
	// excursionStart holds allBefore of each server at the start of this server's
	// excursion, in the order of Service.order. It is nil while there is no
	// excursion.
	excursionStart []counts
	// pending counts the answers since the last evaluation.
	pending counts
}

// excursion counts answers since the score was last zero.
type excursion struct{ good, bad float64 }

// Finding is the result of the test for one server.
type Finding struct {
	Server lagoonstile.ServerID
	// Score and Threshold are log-likelihood ratios.
	Score, Threshold float64
	// Failing reports whether the server is found failing on the evidence of all
	// instances, and Steer whether this instance should route around it on its own
	// evidence.
	Failing, Steer bool
	// Corroborated reports whether several origins saw bad answers, or one did
	// and the good answers of the others do not contradict it.
	Corroborated bool
	// Good and Bad are the evidence of the current excursion, and Origins the
	// number of instances that saw bad answers in it.
	Good, Bad, Origins int
	// GoodStreak counts good answers since the last bad one or call of Reset.
	GoodStreak int
	// BadShare is the recent share of bad answers, from 0 to 1.
	BadShare float64
	// Baseline is the failure rate of the other servers, from 0 to 1.
	Baseline float64
	// LinkFailures counts the path failures in the current excursion of this
	// instance's path, including slow requests.
	LinkFailures int
}

// New returns a Service that runs on the instance self. It has no servers until
// SetServers is called.
func New(self Origin) *Service {
	return &Service{self: self, servers: make(map[lagoonstile.ServerID]*server)}
}

// SetServers sets the list of servers. Servers that remain keep their state.
func (s *Service) SetServers(ids []lagoonstile.ServerID) {
	kept := make(map[lagoonstile.ServerID]*server, len(ids))
	s.order = s.order[:0]
	for _, id := range ids {
		next := s.servers[id]
		if next == nil {
			next = &server{id: id, byOrigin: make(map[Origin]excursion), recentGood: make(map[Origin]float64)}
		}
		// excursionStart is indexed by the position in order, which may change.
		next.excursionStart = nil
		kept[id] = next
		s.order = append(s.order, next)
	}
	s.servers = kept
}

// Observe adds evidence about a server. Evidence about unknown servers is
// ignored.
func (s *Service) Observe(id lagoonstile.ServerID, origin Origin, evidence Evidence) {
	server := s.servers[id]
	if server == nil {
		return
	}
	good, bad := float64(evidence.Good), float64(evidence.Bad+evidence.Slow)
	server.merged.add(good, bad)
	server.pending.total += good + bad
	server.pending.bad += bad
	server.streak += evidence.Good
	if bad > 0 {
		server.streak = 0
	}
	observed := server.byOrigin[origin]
	observed.add(good, bad)
	server.byOrigin[origin] = observed
	server.recentGood[origin] += good
	if origin == s.self {
		server.own.add(good, bad)
		server.link.add(float64(evidence.Good+evidence.Bad), float64(evidence.LinkFailures+evidence.Slow))
	}
}

// Reset resets the test of a server, for example before a trial. The averages
// for the baseline are kept.
func (s *Service) Reset(id lagoonstile.ServerID) {
	server := s.servers[id]
	if server == nil {
		return
	}
	server.merged = excursion{}
	server.own = excursion{}
	server.link = excursion{}
	server.streak = 0
	server.excursionStart = nil
	clear(server.byOrigin)
}

// Evaluate updates the test to the given time and returns a finding for each
// server, in the order of SetServers.
func (s *Service) Evaluate(now time.Time, falseEjectionsPerWeek float64) []Finding {
	s.advance(now)
	threshold := s.threshold(falseEjectionsPerWeek)
	var rates rateSum
	for _, server := range s.order {
		rates.add(server, now, 1)
	}
	findings := make([]Finding, 0, len(s.order))
	for _, server := range s.order {
		others := rates
		others.add(server, now, -1)
		baseline := math.Max(others.baseline(), s.excursionBaseline(server))
		findings = append(findings, server.evaluate(baseline, threshold))
	}
	return findings
}

// threshold returns the score at which a server is found failing. It is at least
// 1.
func (s *Service) threshold(falseEjectionsPerWeek float64) float64 {
	answers := math.Max(s.rate, minAnswerRate) * week.Seconds()
	return math.Max(math.Log(answers/falseEjectionsPerWeek), 1)
}

// advance decays the averages and adds the pending answers to them.
func (s *Service) advance(now time.Time) {
	if s.updated.IsZero() {
		s.started, s.updated = now, now
	}
	elapsed := now.Sub(s.updated)
	s.updated = now
	arrived := 0.0
	for _, server := range s.order {
		arrived += server.pending.total
		server.advance(now, elapsed)
	}
	if elapsed <= 0 {
		return
	}
	// Until rateTimeConstant has passed since the first evaluation, the rate is the
	// plain mean since then.
	span := math.Min(rateTimeConstant.Seconds(), now.Sub(s.started).Seconds())
	weight := math.Min(1, elapsed.Seconds()/math.Max(span, elapsed.Seconds()))
	s.rate += weight * (arrived/elapsed.Seconds() - s.rate)
}

func (s *server) advance(now time.Time, elapsed time.Duration) {
	if s.pending.total > 0 {
		s.lastAnswer = now
	}
	s.decayRecentGood(elapsed)
	s.long.decay(elapsed, longHalfLife, 0)
	s.short.decay(elapsed, shortHalfLife, shortMinAnswers)
	s.fast.decay(elapsed, fastHalfLife, 0)
	s.long.add(s.pending)
	s.short.add(s.pending)
	s.fast.add(s.pending)
	s.allBefore = s.all
	s.all.add(s.pending)
	s.pending = counts{}
}

func (s *server) decayRecentGood(elapsed time.Duration) {
	factor := math.Exp2(-elapsed.Seconds() / recentGoodHalfLife.Seconds())
	for origin, good := range s.recentGood {
		if good *= factor; good < 0.5 {
			delete(s.recentGood, origin)
			continue
		}
		s.recentGood[origin] = good
	}
}

// evaluate computes the scores, resets the excursions whose score is not above
// zero, and returns the finding.
func (s *server) evaluate(baseline, threshold float64) Finding {
	failing := math.Max(failingRate, (1+baseline)/2)
	score := s.merged.scoreOrReset(baseline, failing)
	if score == 0 {
		s.excursionStart = nil
		clear(s.byOrigin)
	}
	badOrigins, contradicting := s.countOrigins()
	corroborated := badOrigins >= 2 || (badOrigins == 1 && contradicting < contradictingAnswers)
	own := s.own.scoreOrReset(baseline, failing)
	// When all servers of a service fail, their paths may fail as well, so the
	// baseline of the servers also applies to the path.
	link := s.link.scoreOrReset(math.Min(math.Max(linkBaseline, baseline), linkFailingRate/2), linkFailingRate)
	return Finding{
		Server:       s.id,
		Score:        score,
		Threshold:    threshold,
		Failing:      score >= threshold && corroborated,
		Corroborated: corroborated,
		Steer:        math.Max(own, link) >= steerThresholdShare*threshold,
		Good:         int(s.merged.good),
		Bad:          int(s.merged.bad),
		Origins:      badOrigins,
		GoodStreak:   int(s.streak),
		BadShare:     s.short.share(priorAnswers),
		Baseline:     baseline,
		LinkFailures: int(s.link.bad),
	}
}

// countOrigins returns the number of origins that saw bad answers in the current
// excursion, and the recent good answers of the other origins.
func (s *server) countOrigins() (badOrigins int, contradicting float64) {
	for _, observed := range s.byOrigin {
		if observed.bad > 0 {
			badOrigins++
		}
	}
	for origin, good := range s.recentGood {
		if s.byOrigin[origin].bad == 0 {
			contradicting += good
		}
	}
	return badOrigins, contradicting
}

func (e *excursion) add(good, bad float64) {
	e.good += good
	e.bad += bad
}

// scoreOrReset returns the log-likelihood ratio of the counts as the score. If
// it is not above zero, scoreOrReset resets the counts and returns 0.
func (e *excursion) scoreOrReset(baseline, failing float64) float64 {
	score := e.bad*math.Log(failing/baseline) + e.good*math.Log((1-failing)/(1-baseline))
	if score <= 0 {
		*e = excursion{}
		return 0
	}
	return score
}
