// Package detector turns what instances see of a service's servers into
// suspicion of single servers.
//
// # The test
//
// Each server has a cumulative log-likelihood ratio between two explanations of
// its answers since it last looked healthy: that it fails as often as the
// service's other servers do, or that it fails far more often (a CUSUM test: E.
// S. Page, "Continuous Inspection Schemes", Biometrika 41, 1954). A bad answer
// raises the score by much, a good one lowers it by little, and a score under
// zero starts anew.
//
// For such a test the mean number of answers between two false alarms is at
// least e to the power of the threshold (G. Lorden, "Procedures for Reacting to
// a Change in Distribution", Annals of Mathematical Statistics 42, 1971). So
// the threshold follows from what the operator chose: with so many answers a
// week and so many false ejections accepted, it is the logarithm of their
// quotient. Quiet services convict after fewer bad answers than busy ones.
//
// # The baseline
//
// The failure rate of the other servers is the mean of theirs, each server with
// one vote: servers that fail at once answer fast, get more traffic for it, and
// would outvote the healthy ones by their number of answers. It is the largest
// of a long, a short and a fast average. The last two make a bad caller, a bad class of requests or a
// common dependency raise everybody's baseline within a few answers, so that
// it convicts nobody. And an excursion is compared with what the others gave
// since it began, too: its score is worked out anew each time, so that what
// looked strange when it came does not count once it turns out that all servers
// did the same, nor what was common once the others are well again.
//
// # Two kinds of evidence
//
// Answers (errors, truncated and late ones) speak of the server. They are
// merged over instances, and convict for all of them if two instances saw bad
// ones, or if one did and the good answers of the others do not contradict it. Link failures speak of a path. They count
// for the instance that saw them and for no other.
package detector

import (
	"math"
	"time"

	"lagoonstile"
)

// Origin names the instance that saw something.
type Origin = lagoonstile.InstanceID

// Evidence counts what one origin saw of one server in some time.
type Evidence struct {
	// Good and Bad count answers.
	Good, Bad uint64
	// Slow counts requests that were unanswered at the slow limit. They speak
	// against the server as bad answers do, and against the path: nobody can
	// tell yet whether an answer will come.
	Slow uint64
	// Link counts failures of the path.
	Link uint64
}

// Parameters of the test.
const (
	// failingRate is the share of bad answers of the server that the test looks
	// for. Servers that fail a third as often are found too, only later.
	failingRate = 0.5
	// baselineFloor is the least failure rate that healthy servers are taken
	// to have.
	baselineFloor = 0.001
	// linkBaseline and linkFailing are the same for the path.
	linkBaseline = 0.001
	linkFailing  = 0.9
	// priorWeight is how many answers at the floor each average starts with.
	priorWeight = 20
	// fastPriorWeight is the same for the fast average, which must show a burst
	// that befalls all servers before it convicts the first one.
	fastPriorWeight = 2
	// The half-lives of the averages.
	fastHalfLife  = 2 * time.Second
	shortHalfLife = 5 * time.Second
	longHalfLife  = 30 * time.Minute
	// shortAnswers is how many answers the short average keeps however old.
	shortAnswers = 100
	// rateHalfLife is that of the answer rate that the threshold follows.
	rateHalfLife = 10 * time.Minute
	// leastRate keeps the threshold sensible for a service that sleeps, in
	// answers a second.
	leastRate = 0.1
	week      = 7 * 24 * time.Hour
	// contradiction is how many good answers of the other origins outweigh the
	// word of a single one. A server that fails half of its work gives as many
	// to an unlucky one in 32 only.
	contradiction = 5
	// recentHalfLife is that of the good answers that contradict. It spans the
	// time between two reports of an origin's good answers, so that a bad
	// report, which comes at once, is weighed against those on their way.
	recentHalfLife = 2 * time.Second
	// steerScore is the share of the threshold at which an instance goes around
	// a server for a while by its own evidence. That costs little if wrong.
	steerScore = 0.7
	// activeSpan is how long a server without answers counts for the baseline.
	activeSpan = 10 * time.Second
	// fewAnswers of the other servers are pooled; of more, each server has one
	// vote.
	fewAnswers = 200
)

// Service is the test over the servers of one service. It is not safe for
// concurrent use.
type Service struct {
	self    Origin
	servers map[lagoonstile.ServerID]*server
	// order lists the servers in the order they came in, for loops that must
	// give the same result every time.
	order []*server
	// rate is the smoothed rate of all answers, in answers a second.
	rate    float64
	started time.Time
	updated time.Time
}

// server is what is known of one server.
type server struct {
	id lagoonstile.ServerID
	// merged counts the answers of the current excursion over all origins, own
	// those that this instance saw, link this instance's path.
	merged, own excursion
	link        excursion
	// streak counts good answers since the last bad one or Forgive.
	streak uint64
	// origins splits merged by origin, and recent holds the good answers of
	// each origin lately.
	origins map[Origin]excursion
	recent  map[Origin]float64
	// answered is when the last answer was seen.
	answered time.Time
	// The averages over all answers ever, trials included.
	long, short, fast average
	// all counts every answer, and before is all without the latest ones.
	all, before average
	// since is what before was of each server when the excursion began, in the
	// order of the servers; nil while there is no excursion.
	since []average
	// pending is what came in since the last evaluation.
	pending average
}

// excursion counts answers since the score was last zero.
type excursion struct{ good, bad float64 }

// Finding is the state of the test for one server.
type Finding struct {
	Server lagoonstile.ServerID
	// Score and Threshold are log-likelihood ratios.
	Score, Threshold float64
	// Convicted says that the server fails for everybody, Steer that this
	// instance should go around it.
	Convicted, Steer bool
	// Corroborated says that the evidence is not one origin's against the
	// others'.
	Corroborated bool
	// Good and Bad are the evidence of the current excursion, and Origins the
	// number of instances that saw bad answers in it.
	Good, Bad, Origins int
	// Streak counts good answers since the last bad one or Forgive.
	Streak int
	// BadShare is the share of bad answers lately, from 0 to 1.
	BadShare float64
	// Baseline is the failure rate of the others.
	Baseline float64
	// LinkFailures counts this instance's path failures in a row, nearly.
	LinkFailures int
}

// New returns the test of a service as the given instance runs it.
func New(self Origin) *Service {
	return &Service{self: self, servers: make(map[lagoonstile.ServerID]*server)}
}

// SetServers keeps the state of servers that stay and forgets the others.
func (s *Service) SetServers(ids []lagoonstile.ServerID) {
	kept := make(map[lagoonstile.ServerID]*server, len(ids))
	s.order = s.order[:0]
	for _, id := range ids {
		next := s.servers[id]
		if next == nil {
			next = &server{id: id, origins: make(map[Origin]excursion), recent: make(map[Origin]float64)}
		}
		// What others gave since an excursion began is counted by their place.
		next.since = nil
		kept[id] = next
		s.order = append(s.order, next)
	}
	s.servers = kept
}

// Observe adds evidence. Evidence of unknown servers is dropped.
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
	from := server.origins[origin]
	from.add(good, bad)
	server.origins[origin] = from
	server.recent[origin] += good
	if origin == s.self {
		server.own.add(good, bad)
		server.link.add(float64(evidence.Good+evidence.Bad), float64(evidence.Link+evidence.Slow))
	}
}

// Forgive starts the test of a server anew, as for a trial.
func (s *Service) Forgive(id lagoonstile.ServerID) {
	server := s.servers[id]
	if server == nil {
		return
	}
	server.merged = excursion{}
	server.own = excursion{}
	server.link = excursion{}
	server.streak = 0
	server.since = nil
	clear(server.origins)
}

// Evaluate brings the test up to now and returns a finding for each server, in
// the order of SetServers.
func (s *Service) Evaluate(now time.Time, falseEjectionsPerWeek float64) []Finding {
	s.age(now)
	threshold := s.threshold(falseEjectionsPerWeek)
	var votes votes
	for _, server := range s.order {
		votes.add(server, now, 1)
	}
	findings := make([]Finding, 0, len(s.order))
	for _, server := range s.order {
		others := votes
		others.add(server, now, -1)
		baseline := math.Max(others.baseline(), s.sinceBaseline(server))
		findings = append(findings, server.find(baseline, threshold))
	}
	return findings
}

// threshold returns the score that convicts.
func (s *Service) threshold(falseEjectionsPerWeek float64) float64 {
	answers := math.Max(s.rate, leastRate) * week.Seconds()
	return math.Max(math.Log(answers/falseEjectionsPerWeek), 1)
}

// age decays the averages and folds in what is pending.
func (s *Service) age(now time.Time) {
	if s.updated.IsZero() {
		s.started, s.updated = now, now
	}
	elapsed := now.Sub(s.updated)
	s.updated = now
	arrived := 0.0
	for _, server := range s.order {
		arrived += server.pending.total
		server.age(now, elapsed)
	}
	if elapsed <= 0 {
		return
	}
	// The mean over a short life stands in for the smoothed rate until there
	// is a half-life of it.
	span := math.Min(rateHalfLife.Seconds(), now.Sub(s.started).Seconds())
	weight := math.Min(1, elapsed.Seconds()/math.Max(span, elapsed.Seconds()))
	s.rate += weight * (arrived/elapsed.Seconds() - s.rate)
}

func (v *server) age(now time.Time, elapsed time.Duration) {
	if v.pending.total > 0 {
		v.answered = now
	}
	v.ageRecent(elapsed)
	v.long.decay(elapsed, longHalfLife, 0)
	v.short.decay(elapsed, shortHalfLife, shortAnswers)
	v.fast.decay(elapsed, fastHalfLife, 0)
	v.long.add(v.pending)
	v.short.add(v.pending)
	v.fast.add(v.pending)
	v.before = v.all
	v.all.add(v.pending)
	v.pending = average{}
}

func (v *server) ageRecent(elapsed time.Duration) {
	factor := math.Exp2(-elapsed.Seconds() / recentHalfLife.Seconds())
	for origin, good := range v.recent {
		if good *= factor; good < 0.5 {
			delete(v.recent, origin)
			continue
		}
		v.recent[origin] = good
	}
}

// find settles the excursions and tells what they show.
func (v *server) find(baseline, threshold float64) Finding {
	failing := math.Max(failingRate, (1+baseline)/2)
	score := v.merged.settle(baseline, failing)
	if score == 0 {
		v.since = nil
		clear(v.origins)
	}
	accusers, contradicting := v.sides()
	corroborated := accusers >= 2 || (accusers == 1 && contradicting < contradiction)
	own := v.own.settle(baseline, failing)
	// While a service's servers fail alike, so may its paths.
	link := v.link.settle(math.Min(math.Max(linkBaseline, baseline), linkFailing/2), linkFailing)
	return Finding{
		Server:       v.id,
		Score:        score,
		Threshold:    threshold,
		Convicted:    score >= threshold && corroborated,
		Corroborated: corroborated,
		Steer:        math.Max(own, link) >= steerScore*threshold,
		Good:         int(v.merged.good),
		Bad:          int(v.merged.bad),
		Origins:      accusers,
		Streak:       int(v.streak),
		BadShare:     v.short.share(priorWeight),
		Baseline:     baseline,
		LinkFailures: int(v.link.bad),
	}
}

// sides returns how many origins saw bad answers, and how many good ones the
// others saw lately.
func (v *server) sides() (accusers int, contradicting float64) {
	for _, from := range v.origins {
		if from.bad > 0 {
			accusers++
		}
	}
	for origin, good := range v.recent {
		if v.origins[origin].bad == 0 {
			contradicting += good
		}
	}
	return accusers, contradicting
}

func (e *excursion) add(good, bad float64) {
	e.good += good
	e.bad += bad
}

// settle returns the log-likelihood ratio of the counts as the score, and starts
// anew when it is not over zero.
func (e *excursion) settle(baseline, failing float64) float64 {
	score := e.bad*math.Log(failing/baseline) + e.good*math.Log((1-failing)/(1-baseline))
	if score <= 0 {
		*e = excursion{}
		return 0
	}
	return score
}
