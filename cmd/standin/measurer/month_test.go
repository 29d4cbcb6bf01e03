package measurer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lagoonstile"
	"lagoonstile/detector"
	"lagoonstile/ejector"
)

// month is how much virtual time the seeds of BenchmarkFalseEjections share.
const (
	month      = 30 * 24 * time.Hour
	monthSeeds = 8
	monthTick  = time.Second
	noise      = 0.005
)

// BenchmarkFalseEjections: a month of a healthy fleet with noise, cold starts,
// restarts, overload bursts, a bad caller and a bad class of requests. Answers
// are drawn for each second; two instances see the halves of them.
func BenchmarkFalseEjections(b *testing.B) {
	for _, deployment := range []Deployment{Consorzio, Mostpruefung} {
		b.Run(deployment.Name, func(b *testing.B) {
			counts := over(monthSeeds, func(seed uint64) float64 {
				return healthyMonth(deployment, seed, month/monthSeeds)
			})
			total := 0.0
			for _, count := range counts {
				total += count
			}
			b.ReportMetric(total, "false-ejections/30-days")
			b.ReportMetric(total*7/30, "false-ejections/week")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// healthyMonth returns how many servers were ejected although they were well.
func healthyMonth(deployment Deployment, seed uint64, span time.Duration) float64 {
	random := rand.New(rand.NewPCG(seed, 30))
	test := detector.New("proxy-1")
	var decide ejector.Service
	var ids []lagoonstile.ServerID
	for i := range deployment.Servers {
		ids = append(ids, lagoonstile.ServerID(fmt.Sprint("server-", i)))
	}
	now := time.Unix(0, 0)
	test.SetServers(ids)
	decide.SetServers(now, ids)
	minServers := int(deployment.Floor*float64(deployment.Servers) + 0.999)
	down := make([]time.Time, deployment.Servers)
	weights := make([]float64, deployment.Servers)
	for i := range weights {
		weights[i] = 1
	}
	ejections := 0.0
	for elapsed := time.Duration(0); elapsed < span; elapsed += monthTick {
		now = now.Add(monthTick)
		second := int(elapsed.Seconds())
		// Days of 50 requests a second, nights of 2.
		rate := 2.0
		if hour := second / 3600 % 24; hour >= 7 && hour < 19 {
			rate = 50
		}
		bad := trouble(second)
		if random.Float64() < 1.0/3600 {
			down[random.IntN(len(down))] = now.Add(3 * time.Second)
		}
		for i, id := range ids {
			if weights[i] == 0 {
				continue
			}
			for _, origin := range []detector.Origin{"proxy-1", "proxy-2"} {
				test.Observe(id, origin, answers(random, rate*weights[i]/2/float64(len(ids)), bad, now.Before(down[i]) && origin == "proxy-1"))
			}
		}
		findings := test.Evaluate(now, deployment.FalseEjectionsPerWeek)
		decisions, changes := decide.Update(now, minServers, findings, nil, test.Reset)
		for i, decision := range decisions {
			weights[i] = decision.Weight
		}
		for _, change := range changes {
			// A server that is down for its restart is not well.
			if change.To == ejector.StateEjected && now.Sub(down[indexOf(ids, change.Server)]) > 10*time.Second {
				ejections++
			}
		}
	}
	return ejections
}

// trouble returns the share of bad answers that is nobody's fault: overload for
// 5 s each hour, a bad caller for 10 minutes in 3 hours, a bad class of
// requests for 10 minutes in 5 hours.
func trouble(second int) float64 {
	switch {
	case second%3600 < 5:
		return 0.8
	case second%(3*3600) > 2*3600 && second%(3*3600) < 2*3600+600:
		return 0.3
	case second%(5*3600) > 4*3600 && second%(5*3600) < 4*3600+600:
		return 0.05
	}
	return noise
}

// answers draws what one origin sees of one server in a second.
func answers(random *rand.Rand, rate, bad float64, down bool) detector.Evidence {
	var evidence detector.Evidence
	n := int(rate)
	if random.Float64() < rate-float64(n) {
		n++
	}
	for range n {
		switch {
		case down:
			evidence.LinkFailures++
		case random.Float64() < bad:
			evidence.Bad++
		default:
			evidence.Good++
		}
	}
	return evidence
}

func indexOf(ids []lagoonstile.ServerID, id lagoonstile.ServerID) int {
	for i := range ids {
		if ids[i] == id {
			return i
		}
	}
	return 0
}
