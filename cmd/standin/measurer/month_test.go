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

// Parameters of BenchmarkFalseEjections.
const (
	// month is the virtual time of the runs with all seeds together.
	month      = 30 * 24 * time.Hour
	monthSeeds = 8
	monthTick  = time.Second
	// baseErrorRate is the share of bad answers of a healthy server.
	baseErrorRate = 0.005
)

// BenchmarkFalseEjections counts the ejections of healthy servers in 30 days with
// random errors, cold starts, restarts, overload bursts, a bad caller and a bad
// class of requests. The evidence is drawn for each second, and each of two
// instances sees half of the requests.
func BenchmarkFalseEjections(b *testing.B) {
	for _, deployment := range []Deployment{Consorzio, Mostpruefung} {
		b.Run(deployment.Name, func(b *testing.B) {
			counts := runSeeds(monthSeeds, func(seed uint64) float64 {
				return falseEjections(deployment, seed, month/monthSeeds)
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

// falseEjections returns how many times a healthy server was ejected in a span of
// virtual time.
func falseEjections(deployment Deployment, seed uint64, span time.Duration) float64 {
	random := rand.New(rand.NewPCG(seed, 30))
	detection := detector.New("proxy-1")
	var ejection ejector.Service
	var ids []lagoonstile.ServerID
	for i := range deployment.Servers {
		ids = append(ids, lagoonstile.ServerID(fmt.Sprint("server-", i)))
	}
	now := time.Unix(0, 0)
	detection.SetServers(ids)
	ejection.SetServers(now, ids)
	minServers := int(deployment.Floor*float64(deployment.Servers) + 0.999)
	restartUntil := make([]time.Time, deployment.Servers)
	weights := make([]float64, deployment.Servers)
	for i := range weights {
		weights[i] = 1
	}
	ejections := 0.0
	for elapsed := time.Duration(0); elapsed < span; elapsed += monthTick {
		now = now.Add(monthTick)
		second := int(elapsed.Seconds())
		// 50 requests per second from 07:00 to 19:00, 2 otherwise.
		rate := 2.0
		if hour := second / 3600 % 24; hour >= 7 && hour < 19 {
			rate = 50
		}
		badShare := errorRate(second)
		if random.Float64() < 1.0/3600 {
			restartUntil[random.IntN(len(restartUntil))] = now.Add(3 * time.Second)
		}
		for i, id := range ids {
			if weights[i] == 0 {
				continue
			}
			for _, origin := range []detector.Origin{"proxy-1", "proxy-2"} {
				detection.Observe(id, origin, drawEvidence(random, rate*weights[i]/2/float64(len(ids)), badShare, now.Before(restartUntil[i]) && origin == "proxy-1"))
			}
		}
		findings := detection.Evaluate(now, deployment.FalseEjectionsPerWeek)
		decisions, changes := ejection.Update(now, minServers, findings, nil, detection.Reset)
		for i, decision := range decisions {
			weights[i] = decision.Weight
		}
		for _, change := range changes {
			// Ejecting a server during a restart or shortly after is not a
			// false ejection.
			if change.To == ejector.StateEjected && now.Sub(restartUntil[indexOf(ids, change.Server)]) > 10*time.Second {
				ejections++
			}
		}
	}
	return ejections
}

// errorRate returns the share of bad answers, which is the same for all servers, at
// a second of the run. It rises for causes outside the servers: an overload for 5 s
// in every hour, a bad caller for 10 minutes in every 3 hours, and a bad class of
// requests for 10 minutes in every 5 hours.
func errorRate(second int) float64 {
	switch {
	case second%3600 < 5:
		return 0.8
	case second%(3*3600) > 2*3600 && second%(3*3600) < 2*3600+600:
		return 0.3
	case second%(5*3600) > 4*3600 && second%(5*3600) < 4*3600+600:
		return 0.05
	}
	return baseErrorRate
}

// drawEvidence draws the evidence that one origin collects about one server in a
// second. rate is the mean number of requests; if down is set, all of them are link
// failures.
func drawEvidence(random *rand.Rand, rate, badShare float64, down bool) detector.Evidence {
	var evidence detector.Evidence
	n := int(rate)
	if random.Float64() < rate-float64(n) {
		n++
	}
	for range n {
		switch {
		case down:
			evidence.LinkFailures++
		case random.Float64() < badShare:
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
