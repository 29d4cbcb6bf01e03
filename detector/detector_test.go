package detector_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lagoonstile"
	"lagoonstile/detector"
)

// scene is a service whose servers fail at given rates, as several origins see
// it.
type scene struct {
	name    string
	servers int
	origins int
	// perSecond is the answers of the whole service.
	perSecond float64
	// bad returns the chance that an answer of a server to an origin is bad.
	bad func(server, origin int) float64
	// link returns the chance that a path fails.
	link func(server, origin int) float64
	// convicted and steered are the servers that must be found, and no other;
	// steered as seen by origin 0.
	convicted, steered []int
	span               time.Duration
}

// TestScenes states whom the test convicts and whom not, for ten seeds each.
func TestScenes(t *testing.T) {
	none := func(int, int) float64 { return 0 }
	noise := func(int, int) float64 { return 0.005 }
	scenes := []scene{
		{"one server fails half of its work", 8, 4, 400, func(s, _ int) float64 {
			if s == 3 {
				return 0.5
			}
			return 0.005
		}, none, []int{3}, nil, 10 * time.Second},
		{"two of ten fail", 10, 4, 400, func(s, _ int) float64 {
			if s < 2 {
				return 0.5
			}
			return 0.005
		}, none, []int{0, 1}, nil, 20 * time.Second},
		{"all fail alike", 8, 4, 400, func(int, int) float64 { return 0.5 }, none, nil, nil, 20 * time.Second},
		{"noise", 8, 4, 400, noise, none, nil, nil, 60 * time.Second},
		{"a path of one origin", 8, 4, 400, noise, func(s, o int) float64 {
			if s == 3 && o == 0 {
				return 1
			}
			return 0
		}, nil, []int{3}, 10 * time.Second},
		{"bad answers to one origin only", 8, 4, 400, func(s, o int) float64 {
			if s == 3 && o == 0 {
				return 0.5
			}
			return 0
		}, none, nil, []int{3}, 20 * time.Second},
	}
	for _, scene := range scenes {
		for seed := range uint64(10) {
			convicted, steered := scene.run(seed)
			if got, want := fmt.Sprint(convicted), fmt.Sprint(set(scene.convicted)); got != want {
				t.Errorf("%s, seed %d: convicted %s, want %s", scene.name, seed, got, want)
			}
			for _, server := range scene.steered {
				if !steered[server] {
					t.Errorf("%s, seed %d: server %d is not steered around", scene.name, seed, server)
				}
			}
		}
	}
}

func set(list []int) map[int]bool {
	out := map[int]bool{}
	for _, i := range list {
		out[i] = true
	}
	return out
}

// run plays the scene at origin 0 and returns every server that was ever
// convicted, and every one that was ever steered around.
func (s scene) run(seed uint64) (convicted, steered map[int]bool) {
	random := rand.New(rand.NewPCG(seed, 1))
	service := detector.New("origin-0")
	var ids []lagoonstile.ServerID
	for i := range s.servers {
		ids = append(ids, lagoonstile.ServerID(fmt.Sprint(i)))
	}
	service.SetServers(ids)
	convicted, steered = map[int]bool{}, map[int]bool{}
	const tick = 100 * time.Millisecond
	now := time.Unix(0, 0)
	for elapsed := time.Duration(0); elapsed < s.span; elapsed += tick {
		now = now.Add(tick)
		for range int(s.perSecond * tick.Seconds()) {
			server, origin := random.IntN(s.servers), random.IntN(s.origins)
			var evidence detector.Evidence
			switch {
			case random.Float64() < s.link(server, origin):
				evidence.Link = 1
			case random.Float64() < s.bad(server, origin):
				evidence.Bad = 1
			default:
				evidence.Good = 1
			}
			if evidence.Link > 0 && origin != 0 {
				continue
			}
			service.Observe(ids[server], detector.Origin(fmt.Sprint("origin-", origin)), evidence)
		}
		for i, finding := range service.Evaluate(now, 1) {
			if finding.Convicted {
				convicted[i] = true
			}
			if finding.Steer {
				steered[i] = true
			}
		}
	}
	return convicted, steered
}

// TestForgiveStartsAnew lets a convicted server be tried again.
func TestForgiveStartsAnew(t *testing.T) {
	service := detector.New("o")
	service.SetServers([]lagoonstile.ServerID{"a", "b"})
	now := time.Unix(0, 0)
	service.Observe("a", "o", detector.Evidence{Bad: 10})
	service.Observe("b", "o", detector.Evidence{Good: 100})
	if findings := service.Evaluate(now, 1); !findings[0].Convicted {
		t.Fatalf("ten bad answers in a row do not convict: %+v", findings[0])
	}
	service.Forgive("a")
	service.Observe("a", "o", detector.Evidence{Good: 3})
	finding := service.Evaluate(now.Add(time.Second), 1)[0]
	if finding.Convicted || finding.Streak != 3 {
		t.Errorf("after Forgive: %+v", finding)
	}
}

func BenchmarkEvaluate(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			service := detector.New("o")
			var ids []lagoonstile.ServerID
			for i := range n {
				ids = append(ids, lagoonstile.ServerID(fmt.Sprint(i)))
			}
			service.SetServers(ids)
			now := time.Unix(0, 0)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(100 * time.Millisecond)
				service.Observe(ids[0], "o", detector.Evidence{Good: 1})
				service.Evaluate(now, 1)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/server")
		})
	}
}
