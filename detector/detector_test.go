package detector_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lagoonstile"
	"lagoonstile/detector"
)

// scenario is a service whose servers and paths fail with given probabilities, as
// observed by several origins.
type scenario struct {
	name    string
	servers int
	origins int
	// perSecond is the number of requests per second to the whole service.
	perSecond float64
	// bad returns the probability that an answer of a server to an origin is bad.
	bad func(server, origin int) float64
	// link returns the probability that a request from an origin to a server
	// fails on its path.
	link func(server, origin int) float64
	// failing lists exactly the servers that must be found failing. steered lists
	// servers that origin 0 must route around.
	failing, steered []int
	span             time.Duration
}

// TestScenarios checks which servers are found failing or routed around in each
// scenario, with ten seeds each.
func TestScenarios(t *testing.T) {
	none := func(int, int) float64 { return 0 }
	noise := func(int, int) float64 { return 0.005 }
	scenarios := []scenario{
		{"one server fails half of its requests", 8, 4, 400, func(s, _ int) float64 {
			if s == 3 {
				return 0.5
			}
			return 0.005
		}, none, []int{3}, nil, 10 * time.Second},
		{"two of ten servers fail", 10, 4, 400, func(s, _ int) float64 {
			if s < 2 {
				return 0.5
			}
			return 0.005
		}, none, []int{0, 1}, nil, 20 * time.Second},
		{"all servers fail equally", 8, 4, 400, func(int, int) float64 { return 0.5 }, none, nil, nil, 20 * time.Second},
		{"background failures only", 8, 4, 400, noise, none, nil, nil, 60 * time.Second},
		{"one path of one origin fails", 8, 4, 400, noise, func(s, o int) float64 {
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
	for _, scenario := range scenarios {
		for seed := range uint64(10) {
			failing, steered := scenario.run(seed)
			if got, want := fmt.Sprint(failing), fmt.Sprint(set(scenario.failing)); got != want {
				t.Errorf("%s, seed %d: failing servers %s, want %s", scenario.name, seed, got, want)
			}
			for _, server := range scenario.steered {
				if !steered[server] {
					t.Errorf("%s, seed %d: server %d is not routed around", scenario.name, seed, server)
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

// run simulates the scenario with a detector at origin 0. It returns the servers
// that were found failing at any time and those that were routed around at any
// time.
func (s scenario) run(seed uint64) (failing, steered map[int]bool) {
	random := rand.New(rand.NewPCG(seed, 1))
	service := detector.New("origin-0")
	var ids []lagoonstile.ServerID
	for i := range s.servers {
		ids = append(ids, lagoonstile.ServerID(fmt.Sprint(i)))
	}
	service.SetServers(ids)
	failing, steered = map[int]bool{}, map[int]bool{}
	const tick = 100 * time.Millisecond
	now := time.Unix(0, 0)
	for elapsed := time.Duration(0); elapsed < s.span; elapsed += tick {
		now = now.Add(tick)
		for range int(s.perSecond * tick.Seconds()) {
			server, origin := random.IntN(s.servers), random.IntN(s.origins)
			var evidence detector.Evidence
			switch {
			case random.Float64() < s.link(server, origin):
				evidence.LinkFailures = 1
			case random.Float64() < s.bad(server, origin):
				evidence.Bad = 1
			default:
				evidence.Good = 1
			}
			if evidence.LinkFailures > 0 && origin != 0 {
				continue
			}
			service.Observe(ids[server], detector.Origin(fmt.Sprint("origin-", origin)), evidence)
		}
		for i, finding := range service.Evaluate(now, 1) {
			if finding.Failing {
				failing[i] = true
			}
			if finding.Steer {
				steered[i] = true
			}
		}
	}
	return failing, steered
}

// TestReset checks that a failing server is no longer found failing after Reset,
// and that its streak of good answers starts at zero.
func TestReset(t *testing.T) {
	service := detector.New("o")
	service.SetServers([]lagoonstile.ServerID{"a", "b"})
	now := time.Unix(0, 0)
	service.Observe("a", "o", detector.Evidence{Bad: 10})
	service.Observe("b", "o", detector.Evidence{Good: 100})
	if findings := service.Evaluate(now, 1); !findings[0].Failing {
		t.Fatalf("server not found failing after ten bad answers in a row: %+v", findings[0])
	}
	service.Reset("a")
	service.Observe("a", "o", detector.Evidence{Good: 3})
	finding := service.Evaluate(now.Add(time.Second), 1)[0]
	if finding.Failing || finding.GoodStreak != 3 {
		t.Errorf("after Reset and three good answers: %+v, want not failing and a streak of 3", finding)
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
