package quarantiner_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"lagoonstile"
	"lagoonstile/internal/checker"
	"lagoonstile/quarantiner"
)

// TestQuarantineAfterTwoCrashes records random crashes at this instance and at
// peers. It checks that a request is quarantined by its second crash and not
// earlier, and that a suspect with one crash is isolated.
func TestQuarantineAfterTwoCrashes(t *testing.T) {
	checker.Check(t, func(t *rapid.T) {
		var tracker quarantiner.Tracker
		now := time.Unix(0, 0)
		localCrashes := map[quarantiner.Fingerprint]int{}
		peerCrashes := map[quarantiner.Fingerprint]map[lagoonstile.InstanceID]int{}
		quarantined := map[quarantiner.Fingerprint]bool{}
		pick := func(t *rapid.T) quarantiner.Fingerprint {
			return quarantiner.Fingerprint(rapid.IntRange(1, 3).Draw(t, "request"))
		}
		totalCrashes := func(fingerprint quarantiner.Fingerprint) int {
			n := localCrashes[fingerprint]
			for _, crashes := range peerCrashes[fingerprint] {
				n += crashes
			}
			return n
		}
		checkQuarantine := func(t *rapid.T, fingerprint quarantiner.Fingerprint, quarantinedNow bool) {
			want := totalCrashes(fingerprint) >= 2 && !quarantined[fingerprint]
			if quarantinedNow != want {
				t.Fatalf("request %d with %d crashes: quarantined now %t, want %t", fingerprint, totalCrashes(fingerprint), quarantinedNow, want)
			}
			quarantined[fingerprint] = quarantined[fingerprint] || want
		}
		t.Repeat(map[string]func(*rapid.T){
			"crash": func(t *rapid.T) {
				fingerprint := pick(t)
				localCrashes[fingerprint]++
				checkQuarantine(t, fingerprint, tracker.RecordCrash(now, fingerprint))
			},
			"peer tells": func(t *rapid.T) {
				fingerprint := pick(t)
				peer := rapid.SampledFrom([]lagoonstile.InstanceID{"proxy-2", "proxy-3"}).Draw(t, "peer")
				crashes := rapid.IntRange(1, 2).Draw(t, "crashes")
				quarantinedNow := tracker.RecordPeerCrashes(now, peer, fingerprint, crashes)
				if peerCrashes[fingerprint] == nil {
					peerCrashes[fingerprint] = map[lagoonstile.InstanceID]int{}
				}
				if crashes > peerCrashes[fingerprint][peer] {
					peerCrashes[fingerprint][peer] = crashes
					checkQuarantine(t, fingerprint, quarantinedNow)
				}
			},
			"": func(t *rapid.T) {
				for fingerprint := quarantiner.Fingerprint(1); fingerprint <= 3; fingerprint++ {
					want := quarantiner.Unrestricted
					switch {
					case quarantined[fingerprint]:
						want = quarantiner.Denied
					case totalCrashes(fingerprint) > 0:
						want = quarantiner.Isolated
					}
					if got := tracker.Admit(now, fingerprint); got != want {
						t.Fatalf("request %d with %d crashes: admission %s, want %s", fingerprint, totalCrashes(fingerprint), got, want)
					}
				}
			},
		})
	})
}

// TestClearedRequestIsUnrestricted checks that a request that ended without a crash
// while it ran in isolation is no longer a suspect, although a peer still reports the
// earlier crash.
func TestClearedRequestIsUnrestricted(t *testing.T) {
	var tracker quarantiner.Tracker
	now := time.Unix(0, 0)
	tracker.RecordCrash(now, 1)
	tracker.Clear(now, 1)
	tracker.RecordPeerCrashes(now, "proxy-2", 1, 1)
	if got := tracker.Admit(now, 1); got != quarantiner.Unrestricted {
		t.Errorf("admission %s, want %s", got, quarantiner.Unrestricted)
	}
	if tracker.RecordCrash(now, 1) {
		t.Error("quarantined by the first crash after it was cleared")
	}
}

// TestSuspicionAndQuarantineExpire checks that suspects and quarantined requests
// are unrestricted again after suspicionTTL and quarantineTTL.
func TestSuspicionAndQuarantineExpire(t *testing.T) {
	var tracker quarantiner.Tracker
	now := time.Unix(0, 0)
	tracker.RecordCrash(now, 1)
	tracker.Quarantine(now, 2)
	later := now.Add(2 * time.Hour)
	for _, fingerprint := range []quarantiner.Fingerprint{1, 2} {
		if got := tracker.Admit(later, fingerprint); got != quarantiner.Unrestricted {
			t.Errorf("request %d: admission %s after two hours, want freely", fingerprint, got)
		}
	}
}
