package measurer

import (
	"testing"
	"time"
)

// TestTargets checks the targets that the users state, with a few seeds of the
// measurements. `make measure` runs all seeds.
func TestTargets(t *testing.T) {
	const seedsPerTarget = 3
	targets := []struct {
		name  string
		run   func(Deployment, uint64) float64
		limit float64
	}{
		{"half of the requests fail at 60% load: seconds until no instance uses the server", func(d Deployment, seed uint64) float64 {
			return detectionSeconds(d, PolicyDaemon, 0.6, failHalf)(seed)
		}, 3},
		{"20 times slower at 60% load: seconds until no instance uses the server", func(d Deployment, seed uint64) float64 {
			return detectionSeconds(d, PolicyDaemon, 0.6, slowDown)(seed)
		}, 2},
		{"half of the requests fail at 2 requests per second: bad answers until no instance uses the server", badAnswersWithDaemon, 6},
		{"one-way loss: seconds until the instance avoids the server", func(d Deployment, seed uint64) float64 {
			return measureOneWayLoss(d, PolicyDaemon, seed).avoidedAfter.Seconds()
		}, 1},
		{"one-way loss: other instances that avoid the server", func(d Deployment, seed uint64) float64 {
			return float64(measureOneWayLoss(d, PolicyDaemon, seed).otherInstances)
		}, 0},
		{"leaving server: seconds from the first request that it sheds to its last request", func(d Deployment, seed uint64) float64 { return lateRequestSeconds(d, PolicyDaemon, seed) }, 2},
		{"12 hours of healthy servers: ejections", func(d Deployment, seed uint64) float64 {
			return falseEjections(d, seed, 12*time.Hour)
		}, 0},
	}
	for _, deployment := range []Deployment{Consorzio, Mostpruefung} {
		for _, target := range targets {
			for _, got := range runSeeds(seedsPerTarget, func(seed uint64) float64 { return target.run(deployment, seed) }) {
				if got > target.limit {
					t.Errorf("%s, %s: %v, want at most %v", deployment.Name, target.name, got, target.limit)
				}
			}
		}
	}
}
