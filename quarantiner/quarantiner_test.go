package quarantiner_test

import (
	"maps"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"lagoonstile/internal/checker"
	"lagoonstile/quarantiner"
)

// event is a crash or a clearance, as the model of TestRowsOfCrashes sees it.
type event struct {
	instance int
	number   int
}

// model is what one instance of TestRowsOfCrashes can know: the events that it saw or
// heard of, and the evidence that each of them gives.
type model map[event]quarantiner.Evidence

// evidence returns the highest evidence of the known events.
func (m model) evidence() quarantiner.Evidence {
	var highest quarantiner.Evidence
	for _, evidence := range m {
		if evidence.Compare(highest) > 0 {
			highest = evidence
		}
	}
	return highest
}

// TestRowsOfCrashes lets three instances run one request at random, with crashes, good
// ends and messages in any order. It checks that each instance quarantines the request
// by its second crash in a row and not earlier, that a suspect with one crash is
// isolated, and that a good end makes it unrestricted. A crash is in a row with another
// one only if its run began when the other one was known there.
func TestRowsOfCrashes(t *testing.T) {
	const request quarantiner.Fingerprint = 1
	checker.Check(t, func(t *rapid.T) {
		type run struct {
			instance int
			known    quarantiner.Evidence
			model    model
		}
		now := time.Unix(0, 0)
		trackers := make([]quarantiner.Tracker, 3)
		models := []model{{}, {}, {}}
		var runs []run
		events := 0
		add := func(instance int, evidence quarantiner.Evidence) {
			events++
			models[instance][event{instance, events}] = evidence
		}
		endRun := func(t *rapid.T) run {
			if len(runs) == 0 {
				t.Skip("no run")
			}
			n := rapid.IntRange(0, len(runs)-1).Draw(t, "run")
			ended := runs[n]
			runs = append(runs[:n], runs[n+1:]...)
			return ended
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				n := rapid.IntRange(0, 2).Draw(t, "instance")
				if trackers[n].Admit(now, request) == quarantiner.Denied {
					t.Skip("denied")
				}
				runs = append(runs, run{n, trackers[n].Evidence(now, request), maps.Clone(models[n])})
			},
			"crash": func(t *rapid.T) {
				r := endRun(t)
				before := models[r.instance].evidence()
				want := r.model.evidence()
				want.Crashes++
				got, quarantined := trackers[r.instance].RecordCrash(now, request, r.known)
				if diff := cmp.Diff(want, got); diff != "" {
					t.Fatalf("evidence of the crash (-want +got):\n%s", diff)
				}
				add(r.instance, want)
				if want := before.Crashes < 2 && models[r.instance].evidence().Crashes >= 2; quarantined != want {
					t.Fatalf("quarantined now %t, want %t", quarantined, want)
				}
			},
			"good end": func(t *rapid.T) {
				r := endRun(t)
				before := models[r.instance].evidence()
				if got, want := trackers[r.instance].Clear(now, request), before.Crashes >= 2; got != want {
					t.Fatalf("quarantine ended %t, want %t", got, want)
				}
				if before.Crashes > 0 {
					add(r.instance, quarantiner.Evidence{Clearances: before.Clearances + 1})
				}
			},
			"message": func(t *rapid.T) {
				from := rapid.IntRange(0, 2).Draw(t, "from")
				to := rapid.IntRange(0, 2).Draw(t, "to")
				evidence, ok := trackers[from].Suspects(now)[request]
				if !ok || from == to {
					t.Skip("nothing to tell")
				}
				trackers[to].Merge(now, request, evidence)
				maps.Copy(models[to], models[from])
			},
			"": func(t *rapid.T) {
				for n := range trackers {
					evidence := models[n].evidence()
					want := quarantiner.Unrestricted
					switch {
					case evidence.Crashes >= 2:
						want = quarantiner.Denied
					case evidence.Crashes > 0:
						want = quarantiner.Isolated
					}
					if got := trackers[n].Admit(now, request); got != want {
						t.Fatalf("instance %d with %+v: admission %s, want %s", n, evidence, got, want)
					}
				}
			},
		})
	})
}

// TestCrashesAtTheSameMoment guards against a quarantine of a harmless request that was
// in flight at many servers, through many instances, when all of them crashed at once.
func TestCrashesAtTheSameMoment(t *testing.T) {
	now := time.Unix(0, 0)
	var tracker, peer quarantiner.Tracker
	known, peerKnown := tracker.Evidence(now, 1), peer.Evidence(now, 1)
	for range 10 {
		if _, quarantined := tracker.RecordCrash(now, 1, known); quarantined {
			t.Error("quarantined by crashes at the same moment")
		}
		peer.RecordCrash(now, 1, peerKnown)
		if tracker.Merge(now, 1, peer.Suspects(now)[1]) {
			t.Error("quarantined by crashes at the same moment, one of them at a peer")
		}
	}
	if got := tracker.Admit(now, 1); got != quarantiner.Isolated {
		t.Errorf("admission %s, want %s", got, quarantiner.Isolated)
	}
}

// TestGoodEndEndsQuarantine guards against a quarantine that lasts although a server
// has completed the request, here or at a peer, in a run that began before it.
func TestGoodEndEndsQuarantine(t *testing.T) {
	now := time.Unix(0, 0)
	var tracker, peer quarantiner.Tracker
	for range 2 {
		tracker.RecordCrash(now, 1, tracker.Evidence(now, 1))
	}
	peer.Merge(now, 1, tracker.Suspects(now)[1])
	if got := peer.Admit(now, 1); got != quarantiner.Denied {
		t.Fatalf("admission %s after two crashes in a row, want %s", got, quarantiner.Denied)
	}
	if !peer.Clear(now, 1) {
		t.Error("the good end did not end the quarantine")
	}
	tracker.Merge(now, 1, peer.Suspects(now)[1])
	tracker.Quarantine(now, 1) // A peer that has not heard of the good end yet.
	for name, tr := range map[string]*quarantiner.Tracker{"tracker": &tracker, "peer": &peer} {
		if got := tr.Admit(now, 1); got != quarantiner.Unrestricted {
			t.Errorf("%s: admission %s, want %s", name, got, quarantiner.Unrestricted)
		}
		if got := tr.Quarantined(now); len(got) > 0 {
			t.Errorf("%s: quarantined %v, want none", name, got)
		}
	}
}

// TestClearedRequestIsUnrestricted checks that a request that ended without a crash
// while it ran in isolation is no longer a suspect, although a peer still reports the
// earlier crash.
func TestClearedRequestIsUnrestricted(t *testing.T) {
	var tracker quarantiner.Tracker
	now := time.Unix(0, 0)
	tracker.RecordCrash(now, 1, quarantiner.Evidence{})
	tracker.Clear(now, 1)
	tracker.Merge(now, 1, quarantiner.Evidence{Crashes: 1})
	if got := tracker.Admit(now, 1); got != quarantiner.Unrestricted {
		t.Errorf("admission %s, want %s", got, quarantiner.Unrestricted)
	}
	if _, quarantined := tracker.RecordCrash(now, 1, tracker.Evidence(now, 1)); quarantined {
		t.Error("quarantined by the first crash after it was cleared")
	}
}

// TestQuarantineGrowsWithEachCrash guards against a quarantine of an hour for a
// harmless request that no run can clear, and against one so short that a harmful
// request keeps crashing servers.
func TestQuarantineGrowsWithEachCrash(t *testing.T) {
	now := time.Unix(0, 0)
	tracker := quarantiner.Tracker{CrashThreshold: 3}
	for range 2 {
		tracker.RecordCrash(now, 1, tracker.Evidence(now, 1))
	}
	for _, minutes := range []time.Duration{1, 4, 16, 60, 60} {
		if _, began := tracker.RecordCrash(now, 1, tracker.Evidence(now, 1)); !began {
			t.Errorf("the quarantine of %d minutes is not reported", minutes)
		}
		now = now.Add(minutes*time.Minute - time.Second)
		if got := tracker.Admit(now, 1); got != quarantiner.Denied {
			t.Errorf("admission %s a second before %d minutes have passed, want %s", got, minutes, quarantiner.Denied)
		}
		now = now.Add(time.Second)
		if got := tracker.Admit(now, 1); got != quarantiner.Isolated {
			t.Errorf("admission %s after %d minutes, want %s", got, minutes, quarantiner.Isolated)
		}
	}
}

// TestSuspicionAndQuarantineExpire checks that suspects and quarantined requests
// are unrestricted again after suspicionTTL and quarantineTTL.
func TestSuspicionAndQuarantineExpire(t *testing.T) {
	var tracker quarantiner.Tracker
	now := time.Unix(0, 0)
	tracker.RecordCrash(now, 1, quarantiner.Evidence{})
	tracker.Quarantine(now, 2)
	later := now.Add(2 * time.Hour)
	for _, fingerprint := range []quarantiner.Fingerprint{1, 2} {
		if got := tracker.Admit(later, fingerprint); got != quarantiner.Unrestricted {
			t.Errorf("request %d: admission %s after two hours, want freely", fingerprint, got)
		}
	}
}

// TestRecordsAreBounded checks that the oldest suspects are forgotten first, and that
// suspects do not displace quarantined requests.
func TestRecordsAreBounded(t *testing.T) {
	now := time.Unix(0, 0)
	var tracker quarantiner.Tracker
	tracker.Quarantine(now, 1)
	for n := range 3000 {
		now = now.Add(time.Millisecond)
		tracker.RecordCrash(now, quarantiner.Fingerprint(2+n), quarantiner.Evidence{})
	}
	if got := len(tracker.Suspects(now)); got != 1024 {
		t.Errorf("%d suspects, want 1024", got)
	}
	for fingerprint, want := range map[quarantiner.Fingerprint]quarantiner.Admission{
		1: quarantiner.Denied, 2: quarantiner.Unrestricted, 3001: quarantiner.Isolated,
	} {
		if got := tracker.Admit(now, fingerprint); got != want {
			t.Errorf("request %d: admission %s, want %s", fingerprint, got, want)
		}
	}
}
