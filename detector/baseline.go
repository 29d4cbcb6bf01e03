package detector

import (
	"math"
	"time"
)

// counts holds the number of all answers and of the bad ones among them. Counts
// that decay are fractional.
type counts struct{ total, bad float64 }

// decay halves the counts every half-life, but does not reduce the total below
// minTotal answers.
func (a *counts) decay(elapsed, halfLife time.Duration, minTotal float64) {
	if elapsed <= 0 || a.total <= minTotal {
		return
	}
	factor := math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
	factor = math.Max(factor, minTotal/a.total)
	a.total *= factor
	a.bad *= factor
}

func (a *counts) add(other counts) {
	a.total += other.total
	a.bad += other.bad
}

// share returns the share of bad answers, smoothed by a prior of the given
// number of answers with a failure rate of minBaseline.
func (a counts) share(prior float64) float64 {
	return (a.bad + prior*minBaseline) / (a.total + prior)
}

// rateSum adds up the failure rates of several servers, each with the same
// weight.
type rateSum struct{ servers, long, short, fast float64 }

// add adds the rates of a server with weight 1, or removes them with weight -1.
// A server without an answer within activeWindow does not count.
func (r *rateSum) add(server *server, now time.Time, weight float64) {
	if server.lastAnswer.IsZero() || now.Sub(server.lastAnswer) > activeWindow {
		return
	}
	r.servers += weight
	r.long += weight * server.long.share(priorAnswers)
	r.short += weight * server.short.share(priorAnswers)
	r.fast += weight * server.fast.share(fastPriorAnswers)
}

// baseline returns the failure rate of the servers: the largest of their mean
// long, short and fast rates, but at least minBaseline and at most 0.99.
func (r rateSum) baseline() float64 {
	if r.servers < 1 {
		return minBaseline
	}
	share := max(r.long, r.short, r.fast) / r.servers
	return math.Min(math.Max(share, minBaseline), 0.99)
}

// excursionBaseline returns the failure rate of the other servers since the
// server's excursion began, or 0 if the excursion has no bad answers.
func (s *Service) excursionBaseline(server *server) float64 {
	if server.merged.bad == 0 {
		return 0
	}
	if len(server.excursionStart) != len(s.order) {
		server.excursionStart = make([]counts, len(s.order))
		for i, other := range s.order {
			server.excursionStart[i] = other.allBefore
		}
	}
	var pooled counts
	rates, servers := 0.0, 0.0
	for i, other := range s.order {
		if other == server {
			continue
		}
		recent := other.all
		recent.add(counts{total: -server.excursionStart[i].total, bad: -server.excursionStart[i].bad})
		pooled.add(recent)
		if recent.total > 0 {
			rates += recent.share(fastPriorAnswers)
			servers++
		}
	}
	if pooled.total < minAnswersForMean {
		return pooled.share(fastPriorAnswers)
	}
	return rates / servers
}
