package detector

import (
	"math"
	"time"
)

// average is a pair of decaying counts.
type average struct{ total, bad float64 }

// decay halves the counts every half-life, but by age alone never under the
// given number of answers.
func (a *average) decay(elapsed, halfLife time.Duration, least float64) {
	if elapsed <= 0 || a.total <= least {
		return
	}
	factor := math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
	factor = math.Max(factor, least/a.total)
	a.total *= factor
	a.bad *= factor
}

func (a *average) add(other average) {
	a.total += other.total
	a.bad += other.bad
}

// share returns the share of bad answers, with a prior of so many answers mixed
// in.
func (a average) share(prior float64) float64 {
	return (a.bad + prior*baselineFloor) / (a.total + prior)
}

// votes adds up the failure rates of several servers, one vote each.
type votes struct{ servers, long, short, fast float64 }

// add counts a server's vote once more, or takes it out with a weight of -1. A
// server that has given no answer lately has none.
func (t *votes) add(server *server, now time.Time, weight float64) {
	if server.answered.IsZero() || now.Sub(server.answered) > activeSpan {
		return
	}
	t.servers += weight
	t.long += weight * server.long.share(priorWeight)
	t.short += weight * server.short.share(priorWeight)
	t.fast += weight * server.fast.share(fastPriorWeight)
}

// baseline returns the failure rate that the votes show.
func (t votes) baseline() float64 {
	if t.servers < 1 {
		return baselineFloor
	}
	share := max(t.long, t.short, t.fast) / t.servers
	return math.Min(math.Max(share, baselineFloor), 0.99)
}

// sinceBaseline returns the failure rate of the others since the server's
// excursion began.
func (s *Service) sinceBaseline(server *server) float64 {
	if server.merged.bad == 0 {
		return 0
	}
	if len(server.since) != len(s.order) {
		server.since = make([]average, len(s.order))
		for i, other := range s.order {
			server.since[i] = other.before
		}
	}
	var pooled average
	votes, servers := 0.0, 0.0
	for i, other := range s.order {
		if other == server {
			continue
		}
		recent := other.all
		recent.add(average{total: -server.since[i].total, bad: -server.since[i].bad})
		pooled.add(recent)
		if recent.total > 0 {
			votes += recent.share(fastPriorWeight)
			servers++
		}
	}
	if pooled.total < fewAnswers {
		return pooled.share(fastPriorWeight)
	}
	return votes / servers
}
