package locator_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lagoonstile"
	"lagoonstile/internal/checker"
	"lagoonstile/locator"
)

// TestAnswerInvariants calls Locate with random candidates. No answer may name an
// instance that is leaving, a degraded one while there are others, or one instance
// twice, and the first address must be that of the home.
func TestAnswerInvariants(t *testing.T) {
	checker.Check(t, func(t *rapid.T) {
		var candidates []locator.Candidate
		byAddress := map[string]locator.Candidate{}
		good := 0
		for i := range rapid.IntRange(0, 16).Draw(t, "instances") {
			candidate := locator.Candidate{
				Home:          lagoonstile.Home{Instance: lagoonstile.InstanceID(fmt.Sprint("proxy-", i)), Incarnation: "i", Epoch: 1},
				Address:       fmt.Sprintf("10.0.0.%d:80", i),
				FailureDomain: lagoonstile.FailureDomain(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain")),
				Load:          rapid.IntRange(0, 50).Draw(t, "load"),
				Leaving:       rapid.Bool().Draw(t, "leaving"),
				Degraded:      rapid.Bool().Draw(t, "poor"),
			}
			if !candidate.Leaving && !candidate.Degraded {
				good++
			}
			candidates = append(candidates, candidate)
			byAddress[candidate.Address] = candidate
		}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		answer, ok := locator.Locate(candidates, "a", time.Second, random)
		if !ok {
			for _, candidate := range candidates {
				if !candidate.Leaving {
					t.Fatalf("no answer although %s is not leaving", candidate.Address)
				}
			}
			return
		}
		if home := byAddress[answer.Addresses[0].Address].Home.String(); home != answer.Home {
			t.Fatalf("home is %s, but the first address is that of %s", answer.Home, home)
		}
		seen := map[string]bool{}
		for _, address := range answer.Addresses {
			candidate := byAddress[address.Address]
			if candidate.Leaving || (candidate.Degraded && good > 0) || seen[address.Address] {
				t.Fatalf("answer names %+v, which is not allowed or named twice", candidate)
			}
			seen[address.Address] = true
		}
	})
}

// TestCallersSpreadEvenly checks that the first and the second addresses are
// distributed evenly over equal instances, so that the failure of an instance
// affects only its fair share of the callers and they then spread evenly over the
// others.
func TestCallersSpreadEvenly(t *testing.T) {
	const instances, answers = 16, 16_000
	var candidates []locator.Candidate
	for i := range instances {
		candidates = append(candidates, locator.Candidate{
			Address:       fmt.Sprint(i),
			FailureDomain: lagoonstile.FailureDomain(fmt.Sprint(i % 3)),
		})
	}
	random := rand.New(rand.NewPCG(1, 1))
	first, second := map[string]int{}, map[string]int{}
	for range answers {
		answer, _ := locator.Locate(candidates, "", time.Second, random)
		first[answer.Addresses[0].Address]++
		second[answer.Addresses[1].Address]++
		if answer.Addresses[0].FailureDomain == answer.Addresses[1].FailureDomain {
			t.Fatal("the first two addresses are in the same failure domain")
		}
	}
	for _, candidate := range candidates {
		for name, share := range map[string]int{"first": first[candidate.Address], "second": second[candidate.Address]} {
			if share < answers/instances*3/4 || share > answers/instances*5/4 {
				t.Errorf("instance %s is the %s address in %d of %d answers, want a sixteenth ± 25%%", candidate.Address, name, share, answers)
			}
		}
	}
}
