package picker_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"lagoonstile"
	"lagoonstile/counter"
	"lagoonstile/picker"
)

func newPool(n int, weight func(int) float64) *picker.Pool {
	pool := &picker.Pool{}
	for i := range n {
		pool.Targets = append(pool.Targets, &picker.Target{
			Server: lagoonstile.Server{ID: lagoonstile.ServerID(fmt.Sprint(i)), Slots: 6},
			Live:   &counter.Server{}, Weight: weight(i), Limit: 6,
		})
	}
	return pool
}

func fullWeight(int) float64 { return 1 }

// TestWeightsWithoutLoad checks that a server of low weight gets its small
// share, and is not starved, when no requests are in flight.
func TestWeightsWithoutLoad(t *testing.T) {
	pool := newPool(10, func(i int) float64 {
		if i == 0 {
			return 0.1
		}
		return 1
	})
	p := &picker.TwoChoices{Random: rand.New(rand.NewPCG(1, 2))}
	const picks = 100_000
	n := 0
	for range picks {
		if p.Pick(pool, nil) == pool.Targets[0] {
			n++
		}
	}
	if share := float64(n) / picks; share < 0.005 || share > 0.02 {
		t.Errorf("a server of weight 0.1 among ten got a share of %.4f, want 0.01 within a factor of 2", share)
	}
}

// TestPick checks which targets are preferred and which are never picked.
func TestPick(t *testing.T) {
	tests := []struct {
		name  string
		setup func(*picker.Pool) []*picker.Target
		ok    func(*picker.Pool, *picker.Target) bool
	}{
		{"tried servers are excluded", func(p *picker.Pool) []*picker.Target { return p.Targets[:3] },
			func(p *picker.Pool, got *picker.Target) bool { return got == p.Targets[3] }},
		{"all servers were tried", func(p *picker.Pool) []*picker.Target { return p.Targets },
			func(_ *picker.Pool, got *picker.Target) bool { return got == nil }},
		{"reserved server is excluded", func(p *picker.Pool) []*picker.Target {
			p.Targets[0].Live.Reserve()
			return nil
		}, func(p *picker.Pool, got *picker.Target) bool { return got != p.Targets[0] }},
		{"draining server is excluded", func(p *picker.Pool) []*picker.Target {
			p.Targets[0].Live.SetDraining()
			return nil
		}, func(p *picker.Pool, got *picker.Target) bool { return got != p.Targets[0] }},
		{"near server has a free slot", func(p *picker.Pool) []*picker.Target {
			p.SameDomain = p.Targets[1:2]
			return nil
		}, func(p *picker.Pool, got *picker.Target) bool { return got == p.Targets[1] }},
		{"near server has no free slot", func(p *picker.Pool) []*picker.Target {
			p.SameDomain = p.Targets[1:2]
			for range 6 {
				p.Targets[1].Live.Begin()
			}
			return nil
		}, func(p *picker.Pool, got *picker.Target) bool { return got != p.Targets[1] }},
		{"server below its limit is preferred to a full one", func(p *picker.Pool) []*picker.Target {
			for range 6 {
				p.Targets[0].Live.Begin()
			}
			return p.Targets[2:]
		}, func(p *picker.Pool, got *picker.Target) bool { return got == p.Targets[1] }},
	}
	for _, test := range tests {
		for seed := range uint64(50) {
			pool := newPool(4, fullWeight)
			tried := test.setup(pool)
			p := &picker.TwoChoices{Random: rand.New(rand.NewPCG(seed, 0))}
			if got := p.Pick(pool, tried); !test.ok(pool, got) {
				t.Errorf("%s: seed %d: unexpected pick %v", test.name, seed, got)
			}
		}
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			pool := newPool(n, fullWeight)
			var p picker.TwoChoices
			b.ReportAllocs()
			for b.Loop() {
				p.Pick(pool, nil)
			}
		})
	}
}
