package measurer

import (
	"testing"
	"time"
)

// TestTargets holds a few seeds of the measurements to the targets that the
// users state, in virtual time; `make measure` runs all of them.
func TestTargets(t *testing.T) {
	const few = 3
	targets := []struct {
		name string
		run  func(Deployment, uint64) float64
		most float64
	}{
		{"half of the work fails at 60% load: seconds until no instance uses the server", func(d Deployment, seed uint64) float64 {
			return detect(d, PolicyOurs, 0.6, halfBad)(seed)
		}, 3},
		{"20 times slower: seconds", func(d Deployment, seed uint64) float64 {
			return detect(d, PolicyOurs, 0.6, stalling)(seed)
		}, 2},
		{"at 2 requests a second: bad answers", quietNight, 6},
		{"one-directional loss: seconds until the instance steers away", func(d Deployment, seed uint64) float64 {
			return oneWay(d, PolicyOurs, seed).steered.Seconds()
		}, 1},
		{"one-directional loss: others that go around the server", func(d Deployment, seed uint64) float64 {
			return float64(oneWay(d, PolicyOurs, seed).others)
		}, 0},
		{"leaving: seconds until the last work", func(d Deployment, seed uint64) float64 { return leaving(d, PolicyOurs, seed) }, 2},
		{"a healthy half day: servers ejected", func(d Deployment, seed uint64) float64 {
			return healthyMonth(d, seed, 12*time.Hour)
		}, 0},
	}
	for _, deployment := range []Deployment{Consorzio, Mostpruefung} {
		for _, target := range targets {
			for _, got := range over(few, func(seed uint64) float64 { return target.run(deployment, seed) }) {
				if got > target.most {
					t.Errorf("%s, %s: %v, want at most %v", deployment.Name, target.name, got, target.most)
				}
			}
		}
	}
}
