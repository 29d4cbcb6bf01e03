package measurer

import (
	"fmt"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"
)

// seedCount is the number of runs with PolicyDaemon for each reported metric,
// except in BenchmarkRetryAmplification.
const seedCount = 200

// baselineSeedCount is the number of runs with each of the other policies, and with
// all policies in BenchmarkRetryAmplification. It is smaller because many runs with
// the other policies detect nothing and last until the timeout.
const baselineSeedCount = 24

func seedCountFor(policy Policy) int {
	if policy == PolicyDaemon {
		return seedCount
	}
	return baselineSeedCount
}

// runSeeds runs an experiment with each of the seeds from 0 to count-1, several at
// once, and returns the results in ascending order.
func runSeeds(count int, experiment func(seed uint64) float64) []float64 {
	results := make([]float64, count)
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, runtime.GOMAXPROCS(0))
	for seed := range count {
		wg.Add(1)
		semaphore <- struct{}{}
		go func() {
			defer wg.Done()
			results[seed] = experiment(uint64(seed))
			<-semaphore
		}()
	}
	wg.Wait()
	slices.Sort(results)
	return results
}

// reportMedianAndWorst reports the median and the largest of sorted results.
func reportMedianAndWorst(b *testing.B, unit string, results []float64) {
	b.ReportMetric(results[len(results)/2], "median-"+unit)
	b.ReportMetric(results[len(results)-1], "worst-"+unit)
	b.ReportMetric(0, "ns/op")
}

// detectionTimeout is how long an experiment waits until instances avoid a server.
const detectionTimeout = 10 * time.Second

// detectionSeconds returns an experiment that measures the seconds from the injection
// of a fault into a server until no instance uses that server. load is a fraction of
// the capacity.
func detectionSeconds(deployment Deployment, policy Policy, load float64, fail func(*server)) func(uint64) float64 {
	return func(seed uint64) float64 {
		sim := NewSimulation(deployment, policy, seed)
		sim.StartLoad(load * sim.Capacity())
		sim.Run(3*time.Second, nil)
		start := sim.Now
		fail(sim.servers[2])
		sim.Run(detectionTimeout, func() bool { return sim.InstancesUsing(2) == 0 })
		return sim.Now.Sub(start).Seconds()
	}
}

// failHalf makes the server fail half of its requests.
func failHalf(s *server) { s.badShare = 0.5 }

// slowDown makes the server 20 times slower.
func slowDown(s *server) { s.slowdown = 20 }

// runPolicies runs a sub-benchmark for each deployment and policy.
func runPolicies(b *testing.B, run func(*testing.B, Deployment, Policy)) {
	for _, deployment := range []Deployment{Consorzio, Mostpruefung} {
		for _, policy := range []Policy{PolicyRoundRobin, PolicyNoGossip, PolicyDaemon} {
			b.Run(deployment.Name+"/"+string(policy), func(b *testing.B) { run(b, deployment, policy) })
		}
	}
}

// BenchmarkDetectHalfBad measures the time until no instance uses a server that
// fails half of its requests.
func BenchmarkDetectHalfBad(b *testing.B) {
	for _, load := range []float64{0.2, 0.6, 0.9} {
		b.Run(fmt.Sprintf("load-%.0f", load*100), func(b *testing.B) {
			runPolicies(b, func(b *testing.B, deployment Deployment, policy Policy) {
				reportMedianAndWorst(b, "s", runSeeds(seedCountFor(policy), detectionSeconds(deployment, policy, load, failHalf)))
			})
		})
	}
}

// BenchmarkDetectStall measures the time until no instance uses a server that
// answers 20 times slower.
func BenchmarkDetectStall(b *testing.B) {
	runPolicies(b, func(b *testing.B, deployment Deployment, policy Policy) {
		reportMedianAndWorst(b, "s", runSeeds(seedCountFor(policy), detectionSeconds(deployment, policy, 0.6, slowDown)))
	})
}

// BenchmarkQuietNight counts the bad answers until no instance uses a server that
// fails half of its requests, at 2 requests per second for the whole service.
func BenchmarkQuietNight(b *testing.B) {
	runPolicies(b, func(b *testing.B, deployment Deployment, policy Policy) {
		reportMedianAndWorst(b, "bad-answers", runSeeds(seedCountFor(policy), func(seed uint64) float64 { return badAnswersAtLowLoad(deployment, policy, seed) }))
	})
}

// badAnswersWithDaemon is badAnswersAtLowLoad with PolicyDaemon.
func badAnswersWithDaemon(deployment Deployment, seed uint64) float64 {
	return badAnswersAtLowLoad(deployment, PolicyDaemon, seed)
}

// badAnswersAtLowLoad returns the number of bad answers until no instance uses a
// server that fails half of its requests, at 2 requests per second.
func badAnswersAtLowLoad(deployment Deployment, policy Policy, seed uint64) float64 {
	sim := NewSimulation(deployment, policy, seed)
	sim.StartLoad(2)
	sim.Run(time.Minute, nil)
	failHalf(sim.servers[2])
	before := sim.BadAnswers
	sim.Run(5*time.Minute, func() bool { return sim.InstancesUsing(2) == 0 })
	return float64(sim.BadAnswers - before)
}

// BenchmarkOneWayLoss measures the time until an instance avoids a server whose
// answers do not reach it. It also reports how many other instances avoid that
// server although its answers reach them.
func BenchmarkOneWayLoss(b *testing.B) {
	runPolicies(b, func(b *testing.B, deployment Deployment, policy Policy) {
		others := runSeeds(seedCountFor(policy), func(seed uint64) float64 { return float64(measureOneWayLoss(deployment, policy, seed).otherInstances) })
		times := runSeeds(seedCountFor(policy), func(seed uint64) float64 { return measureOneWayLoss(deployment, policy, seed).avoidedAfter.Seconds() })
		reportMedianAndWorst(b, "s", times)
		b.ReportMetric(others[len(others)-1], "worst-others")
	})
}

// oneWayLoss is the result of measureOneWayLoss.
type oneWayLoss struct {
	// avoidedAfter is the time until the affected instance avoids the server.
	avoidedAfter time.Duration
	// otherInstances is the largest number of other instances that avoid the
	// server at the same time, within 3 s after that.
	otherInstances int
}

// measureOneWayLoss makes the answers of one server to one instance get lost.
func measureOneWayLoss(deployment Deployment, policy Policy, seed uint64) oneWayLoss {
	sim := NewSimulation(deployment, policy, seed)
	sim.StartLoad(0.6 * sim.Capacity())
	sim.Run(3*time.Second, nil)
	start := sim.Now
	target := sim.servers[2]
	target.answersLost[2] = true
	sim.Run(detectionTimeout, func() bool { return !sim.instances[2].uses(target) })
	result := oneWayLoss{avoidedAfter: sim.Now.Sub(start)}
	sim.Run(3*time.Second, func() bool {
		result.otherInstances = max(result.otherInstances, instanceCount-1-sim.InstancesUsing(2))
		return false
	})
	return result
}

// BenchmarkCommonFault makes all servers fail half of their requests and reports
// the least number of servers in use on any instance, divided by the floor.
func BenchmarkCommonFault(b *testing.B) {
	runPolicies(b, func(b *testing.B, deployment Deployment, policy Policy) {
		floor := deployment.Floor * float64(deployment.Servers)
		results := runSeeds(seedCountFor(policy), func(seed uint64) float64 {
			sim := NewSimulation(deployment, policy, seed)
			sim.StartLoad(0.6 * sim.Capacity())
			sim.Run(3*time.Second, nil)
			for _, s := range sim.servers {
				failHalf(s)
			}
			least := deployment.Servers
			sim.Run(10*time.Second, func() bool {
				for i := range instanceCount {
					least = min(least, sim.ServersInUse(i))
				}
				return false
			})
			return float64(least) / floor
		})
		b.ReportMetric(results[0], "worst-in-use/floor")
		b.ReportMetric(0, "ns/op")
	})
}

// BenchmarkRetryAmplification makes half of the servers fail all of their requests
// and reports how many attempts instances make for each request.
func BenchmarkRetryAmplification(b *testing.B) {
	runPolicies(b, func(b *testing.B, deployment Deployment, policy Policy) {
		reportMedianAndWorst(b, "tries/request", runSeeds(baselineSeedCount, func(seed uint64) float64 {
			sim := NewSimulation(deployment, policy, seed)
			sim.StartLoad(0.4 * sim.Capacity())
			sim.Run(3*time.Second, nil)
			for _, s := range sim.servers[:len(sim.servers)/2] {
				s.badShare = 1
			}
			requests, attempts := sim.Requests, sim.Attempts
			sim.Run(30*time.Second, nil)
			return float64(sim.Attempts-attempts) / float64(sim.Requests-requests)
		}))
	})
}

// BenchmarkLeaving measures how long a leaving server still gets requests: the time
// from the first request that it sheds, which tells one instance that it is leaving,
// to the last request that any instance sends to it.
func BenchmarkLeaving(b *testing.B) {
	runPolicies(b, func(b *testing.B, deployment Deployment, policy Policy) {
		reportMedianAndWorst(b, "s", runSeeds(seedCountFor(policy), func(seed uint64) float64 { return lateRequestSeconds(deployment, policy, seed) }))
	})
}

// lateRequestSeconds returns the seconds from the first request that a leaving server
// sheds to the last request that it gets.
func lateRequestSeconds(deployment Deployment, policy Policy, seed uint64) float64 {
	sim := NewSimulation(deployment, policy, seed)
	sim.StartLoad(0.6 * sim.Capacity())
	sim.Run(3*time.Second, nil)
	s := sim.servers[2]
	s.leaving = true
	sim.Run(10*time.Second, nil)
	return s.lastShed.Sub(s.firstShed).Seconds()
}
