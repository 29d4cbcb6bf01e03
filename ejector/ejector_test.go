package ejector_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lagoonstile"
	"lagoonstile/detector"
	"lagoonstile/ejector"
	"lagoonstile/internal/checker"
)

const servers = 6

func ids(n int) []lagoonstile.ServerID {
	var out []lagoonstile.ServerID
	for i := range n {
		out = append(out, lagoonstile.ServerID(fmt.Sprint("s", i)))
	}
	return out
}

// TestFloorHolds applies random findings, draining notices and ejections by
// peers. After each step it checks that the servers in use are not fewer than
// the floor unless servers are draining, that no server is ejected and held in
// the same update, that only corroborated evidence ejects a server outside a
// trial, and that no server is excluded for more than 30 minutes.
func TestFloorHolds(t *testing.T) {
	checker.Check(t, func(t *rapid.T) {
		floor := rapid.IntRange(1, servers).Draw(t, "floor")
		now := time.Unix(0, 0)
		var service ejector.Service
		service.SetServers(now, ids(servers))
		findings := map[lagoonstile.ServerID]detector.Finding{}
		notices := map[lagoonstile.ServerID]ejector.Notice{}
		excludedSince := map[lagoonstile.ServerID]time.Time{}
		pick := func(t *rapid.T) lagoonstile.ServerID { return rapid.SampledFrom(ids(servers)).Draw(t, "server") }
		t.Repeat(map[string]func(*rapid.T){
			"fails": func(t *rapid.T) {
				id := pick(t)
				findings[id] = detector.Finding{Server: id, Score: rapid.Float64Range(10, 90).Draw(t, "score"), Threshold: 10, Failing: true, Corroborated: true, BadShare: 0.5}
			},
			"path fails": func(t *rapid.T) {
				id := pick(t)
				findings[id] = detector.Finding{Server: id, Threshold: 10, Steer: true}
			},
			"recovers": func(t *rapid.T) {
				id := pick(t)
				findings[id] = detector.Finding{Server: id, Threshold: 10, GoodStreak: 100}
			},
			"peer ejects": func(t *rapid.T) {
				id := pick(t)
				notices[id] = ejector.Notice{PeerEjected: !notices[id].PeerEjected, Draining: notices[id].Draining}
			},
			"leaves": func(t *rapid.T) {
				id := pick(t)
				notices[id] = ejector.Notice{PeerEjected: notices[id].PeerEjected, Draining: !notices[id].Draining}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "seconds")) * time.Second)
			},
			"": func(t *rapid.T) {
				var list []detector.Finding
				for _, id := range ids(servers) {
					if finding, ok := findings[id]; ok {
						list = append(list, finding)
					} else {
						list = append(list, detector.Finding{Server: id, Threshold: 10})
					}
				}
				resetTest := func(id lagoonstile.ServerID) { findings[id] = detector.Finding{Server: id, Threshold: 10} }
				decisions, transitions := service.Update(now, floor, list, notices, resetTest)
				inUse, draining := 0, 0
				for _, decision := range decisions {
					switch {
					case decision.Weight > 0:
						inUse++
						delete(excludedSince, decision.Server)
					case decision.State == ejector.StateDraining:
						draining++
						delete(excludedSince, decision.Server)
					default:
						if excludedSince[decision.Server].IsZero() {
							excludedSince[decision.Server] = now
						}
					}
				}
				if want := min(floor, servers-draining); inUse < want {
					t.Fatalf("too few servers in use: %d with floor %d and %d draining: %v", inUse, floor, draining, decisions)
				}
				moved := map[lagoonstile.ServerID]ejector.State{}
				for _, transition := range transitions {
					if moved[transition.Server] == ejector.StateEjected && transition.To == ejector.StateHeld {
						t.Fatalf("%s was ejected and held in the same update", transition.Server)
					}
					moved[transition.Server] = transition.To
					if transition.To == ejector.StateEjected && transition.From != ejector.StateTrial && !transition.Finding.Corroborated {
						t.Fatalf("%s was ejected without corroborated evidence", transition.Server)
					}
				}
				for id, since := range excludedSince {
					if now.Sub(since) > 30*time.Minute {
						t.Fatalf("%s has been excluded since %s, now %s; want at most 30 minutes", id, since, now)
					}
				}
			},
		})
	})
}

// TestFollowingAPeer checks that an instance ejects a server that a peer has
// ejected at half of the threshold, but only on corroborated evidence.
func TestFollowingAPeer(t *testing.T) {
	tests := []struct {
		name         string
		score        float64
		peer         bool
		corroborated bool
		state        ejector.State
	}{
		{"over half of the threshold, ejected by a peer", 6, true, true, ejector.StateEjected},
		{"under half of the threshold, ejected by a peer", 4, true, true, ejector.StateInUse},
		{"not ejected by a peer", 6, false, true, ejector.StateInUse},
		{"evidence not corroborated", 6, true, false, ejector.StateInUse},
	}
	for _, test := range tests {
		now := time.Unix(0, 0)
		var service ejector.Service
		service.SetServers(now, ids(4))
		finding := detector.Finding{Server: "s0", Threshold: 10, Score: test.score, Corroborated: test.corroborated}
		notices := map[lagoonstile.ServerID]ejector.Notice{"s0": {PeerEjected: test.peer}}
		decisions, _ := service.Update(now, 2, []detector.Finding{finding}, notices, func(lagoonstile.ServerID) {})
		if decisions[0].State != test.state {
			t.Errorf("%s: state %s, want %s", test.name, decisions[0].State, test.state)
		}
	}
}

// TestBackOffOfFlappingServer checks that the back-off of a server that fails
// after each trial doubles, and that it shrinks after an hour of good answers.
func TestBackOffOfFlappingServer(t *testing.T) {
	now := time.Unix(0, 0)
	var service ejector.Service
	service.SetServers(now, ids(3))
	update := func(bad bool) []ejector.Transition {
		finding := detector.Finding{Server: "s0", Threshold: 10, GoodStreak: 100}
		if bad {
			finding = detector.Finding{Server: "s0", Threshold: 10, Score: 50, Failing: true, Corroborated: true}
		}
		_, transitions := service.Update(now, 1, []detector.Finding{finding}, nil, func(lagoonstile.ServerID) {})
		return transitions
	}
	nextBackOff := func() time.Duration {
		for range 10_000 {
			now = now.Add(100 * time.Millisecond)
			for _, transition := range update(true) {
				if transition.To == ejector.StateEjected {
					return transition.BackOff
				}
			}
		}
		return 0
	}
	past := nextBackOff()
	for i := range 4 {
		next := nextBackOff()
		if next != 2*past {
			t.Errorf("back-off %d is %s, want twice the previous %s", i+2, next, past)
		}
		past = next
	}
	for range 60 * 60 * 10 {
		now = now.Add(100 * time.Millisecond)
		update(false)
	}
	if next := nextBackOff(); next >= past {
		t.Errorf("after an hour of good answers the back-off is %s, want less than %s", next, past)
	}
}
