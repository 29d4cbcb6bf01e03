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

// TestFloorHolds judges servers at random, with servers leaving and peers
// ejecting others, and checks after each step that ejections never bring the
// servers in use under the floor, that the healthy ones among them are not
// ejected below it either, and that no ejected server is away for ever.
func TestFloorHolds(t *testing.T) {
	checker.Check(t, func(t *rapid.T) {
		floor := rapid.IntRange(1, servers).Draw(t, "floor")
		now := time.Unix(0, 0)
		var service ejector.Service
		service.SetServers(now, ids(servers))
		findings := map[lagoonstile.ServerID]detector.Finding{}
		notices := map[lagoonstile.ServerID]ejector.Notice{}
		away := map[lagoonstile.ServerID]time.Time{}
		pick := func(t *rapid.T) lagoonstile.ServerID { return rapid.SampledFrom(ids(servers)).Draw(t, "server") }
		t.Repeat(map[string]func(*rapid.T){
			"fails": func(t *rapid.T) {
				id := pick(t)
				findings[id] = detector.Finding{Server: id, Score: rapid.Float64Range(10, 90).Draw(t, "score"), Threshold: 10, Convicted: true, Corroborated: true, BadShare: 0.5}
			},
			"path fails": func(t *rapid.T) {
				id := pick(t)
				findings[id] = detector.Finding{Server: id, Threshold: 10, Steer: true}
			},
			"recovers": func(t *rapid.T) {
				id := pick(t)
				findings[id] = detector.Finding{Server: id, Threshold: 10, Streak: 100}
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
				forgive := func(id lagoonstile.ServerID) { findings[id] = detector.Finding{Server: id, Threshold: 10} }
				decisions, changes := service.Update(now, floor, list, notices, forgive)
				inUse, leaving := 0, 0
				for _, decision := range decisions {
					switch {
					case decision.Weight > 0:
						inUse++
						delete(away, decision.Server)
					case decision.State == ejector.StateLeaving:
						leaving++
						delete(away, decision.Server)
					default:
						if away[decision.Server].IsZero() {
							away[decision.Server] = now
						}
					}
				}
				if want := min(floor, servers-leaving); inUse < want {
					t.Fatalf("%d servers in use, floor %d, %d leaving: %v", inUse, floor, leaving, decisions)
				}
				moved := map[lagoonstile.ServerID]ejector.State{}
				for _, change := range changes {
					if moved[change.Server] == ejector.StateEjected && change.To == ejector.StateHeld {
						t.Fatalf("%s was ejected and brought back at once", change.Server)
					}
					moved[change.Server] = change.To
					if change.To == ejector.StateEjected && change.From != ejector.StateTrial && !change.Finding.Corroborated {
						t.Fatalf("%s was ejected without corroborated evidence", change.Server)
					}
				}
				for id, since := range away {
					if now.Sub(since) > 30*time.Minute {
						t.Fatalf("%s has been away since %s, now %s", id, since, now)
					}
				}
			},
		})
	})
}

// TestFollowingAPeer states when an instance ejects a server that a peer has
// ejected: at half the threshold, if its evidence is corroborated.
func TestFollowingAPeer(t *testing.T) {
	tests := []struct {
		name         string
		score        float64
		peer         bool
		corroborated bool
		state        ejector.State
	}{
		{"more than half of the threshold, and a peer", 6, true, true, ejector.StateEjected},
		{"less than half", 4, true, true, ejector.StateInUse},
		{"no peer", 6, false, true, ejector.StateInUse},
		{"others contradict", 6, true, false, ejector.StateInUse},
	}
	for _, test := range tests {
		now := time.Unix(0, 0)
		var service ejector.Service
		service.SetServers(now, ids(4))
		finding := detector.Finding{Server: "s0", Threshold: 10, Score: test.score, Corroborated: test.corroborated}
		notices := map[lagoonstile.ServerID]ejector.Notice{"s0": {PeerEjected: test.peer}}
		decisions, _ := service.Update(now, 2, []detector.Finding{finding}, notices, func(lagoonstile.ServerID) {})
		if decisions[0].State != test.state {
			t.Errorf("%s: %s, want %s", test.name, decisions[0].State, test.state)
		}
	}
}

// TestFlapperIsAwayLongerEachTime shows the back-off of a server that fails
// again after each trial, and that a long good time forgets it.
func TestFlapperIsAwayLongerEachTime(t *testing.T) {
	now := time.Unix(0, 0)
	var service ejector.Service
	service.SetServers(now, ids(3))
	update := func(bad bool) []ejector.Change {
		finding := detector.Finding{Server: "s0", Threshold: 10, Streak: 100}
		if bad {
			finding = detector.Finding{Server: "s0", Threshold: 10, Score: 50, Convicted: true, Corroborated: true}
		}
		_, changes := service.Update(now, 1, []detector.Finding{finding}, nil, func(lagoonstile.ServerID) {})
		return changes
	}
	ejection := func() time.Duration {
		for range 10_000 {
			now = now.Add(100 * time.Millisecond)
			for _, change := range update(true) {
				if change.To == ejector.StateEjected {
					return change.BackOff
				}
			}
		}
		return 0
	}
	past := ejection()
	for i := range 4 {
		next := ejection()
		if next != 2*past {
			t.Errorf("absence %d lasts %s after %s, want twice as long", i+2, next, past)
		}
		past = next
	}
	for range 60 * 60 * 10 {
		now = now.Add(100 * time.Millisecond)
		update(false)
	}
	if next := ejection(); next >= past {
		t.Errorf("after an hour of good answers the absence lasts %s, want less than %s", next, past)
	}
}
