package measurer

import (
	"fmt"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"
)

// seeds is how many runs a row is made of.
const seeds = 200

// baselineSeeds is the same for the baselines, which take long to find nothing.
const baselineSeeds = 24

func seedsOf(policy Policy) int {
	if policy == PolicyOurs {
		return seeds
	}
	return baselineSeeds
}

// over runs one experiment for each seed, several at once.
func over(count int, experiment func(seed uint64) float64) []float64 {
	results := make([]float64, count)
	var all sync.WaitGroup
	tickets := make(chan struct{}, runtime.GOMAXPROCS(0))
	for seed := range count {
		all.Add(1)
		tickets <- struct{}{}
		go func() {
			defer all.Done()
			results[seed] = experiment(uint64(seed))
			<-tickets
		}()
	}
	all.Wait()
	slices.Sort(results)
	return results
}

// report gives the median and the worst of sorted results.
func report(b *testing.B, unit string, results []float64) {
	b.ReportMetric(results[len(results)/2], "median-"+unit)
	b.ReportMetric(results[len(results)-1], "worst-"+unit)
	b.ReportMetric(0, "ns/op")
}

// giveUp is how long an experiment waits for a detection.
const giveUp = 10 * time.Second

// detect returns how long it takes until no instance uses a server that begins
// to fail.
func detect(deployment Deployment, policy Policy, load float64, fail func(*server)) func(uint64) float64 {
	return func(seed uint64) float64 {
		w := NewWorld(deployment, policy, seed)
		w.Load(load * w.Capacity())
		w.Run(3*time.Second, nil)
		start := w.Now
		fail(w.servers[2])
		w.Run(giveUp, func() bool { return w.Using(2) == 0 })
		return w.Now.Sub(start).Seconds()
	}
}

func halfBad(s *server)  { s.badShare = 0.5 }
func stalling(s *server) { s.factor = 20 }

// each runs a benchmark for both deployments and all policies.
func each(b *testing.B, run func(*testing.B, Deployment, Policy)) {
	for _, deployment := range []Deployment{Consorzio, Mostpruefung} {
		for _, policy := range []Policy{PolicyRoundRobin, PolicyAlone, PolicyOurs} {
			b.Run(deployment.Name+"/"+string(policy), func(b *testing.B) { run(b, deployment, policy) })
		}
	}
}

// BenchmarkDetectHalfBad: a server fails half of its real work.
func BenchmarkDetectHalfBad(b *testing.B) {
	for _, load := range []float64{0.2, 0.6, 0.9} {
		b.Run(fmt.Sprintf("load-%.0f", load*100), func(b *testing.B) {
			each(b, func(b *testing.B, deployment Deployment, policy Policy) {
				report(b, "s", over(seedsOf(policy), detect(deployment, policy, load, halfBad)))
			})
		})
	}
}

// BenchmarkDetectStall: a server answers 20 times slower.
func BenchmarkDetectStall(b *testing.B) {
	each(b, func(b *testing.B, deployment Deployment, policy Policy) {
		report(b, "s", over(seedsOf(policy), detect(deployment, policy, 0.6, stalling)))
	})
}

// BenchmarkQuietNight: the same at 2 requests a second; bad answers until no
// instance uses the server.
func BenchmarkQuietNight(b *testing.B) {
	each(b, func(b *testing.B, deployment Deployment, policy Policy) {
		report(b, "bad-answers", over(seedsOf(policy), func(seed uint64) float64 { return night(deployment, policy, seed) }))
	})
}

func quietNight(deployment Deployment, seed uint64) float64 {
	return night(deployment, PolicyOurs, seed)
}

func night(deployment Deployment, policy Policy, seed uint64) float64 {
	w := NewWorld(deployment, policy, seed)
	w.Load(2)
	w.Run(time.Minute, nil)
	halfBad(w.servers[2])
	before := w.Bad
	w.Run(5*time.Minute, func() bool { return w.Using(2) == 0 })
	return float64(w.Bad - before)
}

// BenchmarkOneWayLoss: answers of one server do not reach one instance. The
// time until that one goes around it, and how many others do.
func BenchmarkOneWayLoss(b *testing.B) {
	each(b, func(b *testing.B, deployment Deployment, policy Policy) {
		others := over(seedsOf(policy), func(seed uint64) float64 { return float64(oneWay(deployment, policy, seed).others) })
		times := over(seedsOf(policy), func(seed uint64) float64 { return oneWay(deployment, policy, seed).steered.Seconds() })
		report(b, "s", times)
		b.ReportMetric(others[len(others)-1], "worst-others")
	})
}

type oneWayResult struct {
	steered time.Duration
	others  int
}

func oneWay(deployment Deployment, policy Policy, seed uint64) oneWayResult {
	w := NewWorld(deployment, policy, seed)
	w.Load(0.6 * w.Capacity())
	w.Run(3*time.Second, nil)
	start := w.Now
	target := w.servers[2]
	target.cut[2] = true
	w.Run(giveUp, func() bool { return !w.instances[2].uses(target) })
	result := oneWayResult{steered: w.Now.Sub(start)}
	w.Run(3*time.Second, func() bool {
		result.others = max(result.others, instances-1-w.Using(2))
		return false
	})
	return result
}

// BenchmarkCommonFault: all servers fail half of their work. The least servers
// in use on any instance, for each that the floor asks for.
func BenchmarkCommonFault(b *testing.B) {
	each(b, func(b *testing.B, deployment Deployment, policy Policy) {
		floor := deployment.Floor * float64(deployment.Servers)
		results := over(seedsOf(policy), func(seed uint64) float64 {
			w := NewWorld(deployment, policy, seed)
			w.Load(0.6 * w.Capacity())
			w.Run(3*time.Second, nil)
			for _, s := range w.servers {
				halfBad(s)
			}
			least := deployment.Servers
			w.Run(10*time.Second, func() bool {
				for i := range instances {
					least = min(least, w.InUse(i))
				}
				return false
			})
			return float64(least) / floor
		})
		b.ReportMetric(results[0], "worst-in-use/floor")
		b.ReportMetric(0, "ns/op")
	})
}

// BenchmarkRetryAmplification: half of the servers fail all of their work; what
// servers get for each request.
func BenchmarkRetryAmplification(b *testing.B) {
	each(b, func(b *testing.B, deployment Deployment, policy Policy) {
		report(b, "tries/request", over(baselineSeeds, func(seed uint64) float64 {
			w := NewWorld(deployment, policy, seed)
			w.Load(0.4 * w.Capacity())
			w.Run(3*time.Second, nil)
			for _, s := range w.servers[:len(w.servers)/2] {
				s.badShare = 1
			}
			requests, tries := w.Requests, w.Tries
			w.Run(30*time.Second, nil)
			return float64(w.Tries-tries) / float64(w.Requests-requests)
		}))
	})
}

// BenchmarkLeaving: a server begins to leave; how long after the first instance
// could know the last one sends it work.
func BenchmarkLeaving(b *testing.B) {
	each(b, func(b *testing.B, deployment Deployment, policy Policy) {
		report(b, "s", over(seedsOf(policy), func(seed uint64) float64 { return leaving(deployment, policy, seed) }))
	})
}

func leaving(deployment Deployment, policy Policy, seed uint64) float64 {
	w := NewWorld(deployment, policy, seed)
	w.Load(0.6 * w.Capacity())
	w.Run(3*time.Second, nil)
	s := w.servers[2]
	s.leaving = true
	w.Run(10*time.Second, nil)
	return s.lastWork.Sub(s.refused).Seconds()
}
