package quarantiner_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"lagoonstile"
	"lagoonstile/internal/checker"
	"lagoonstile/quarantiner"
)

// TestTwoCrashesAndNoFewer drives a keeper through crashes here and at peers,
// and through good ends. Nothing is quarantined with fewer than two crashes
// since it last ended well alone, and a request with two is.
func TestTwoCrashesAndNoFewer(t *testing.T) {
	checker.Check(t, func(t *rapid.T) {
		var keeper quarantiner.Keeper
		now := time.Unix(0, 0)
		own := map[quarantiner.Print]int{}
		peers := map[quarantiner.Print]map[lagoonstile.InstanceID]int{}
		quarantined := map[quarantiner.Print]bool{}
		pick := func(t *rapid.T) quarantiner.Print {
			return quarantiner.Print(rapid.IntRange(1, 3).Draw(t, "request"))
		}
		count := func(print quarantiner.Print) int {
			n := own[print]
			for _, crashes := range peers[print] {
				n += crashes
			}
			return n
		}
		judge := func(t *rapid.T, print quarantiner.Print, news bool) {
			want := count(print) >= 2 && !quarantined[print]
			if news != want {
				t.Fatalf("request %d with %d crashes: quarantined now %t, want %t", print, count(print), news, want)
			}
			quarantined[print] = quarantined[print] || want
		}
		t.Repeat(map[string]func(*rapid.T){
			"crash": func(t *rapid.T) {
				print := pick(t)
				own[print]++
				judge(t, print, keeper.Crashed(now, print))
			},
			"peer tells": func(t *rapid.T) {
				print := pick(t)
				peer := rapid.SampledFrom([]lagoonstile.InstanceID{"proxy-2", "proxy-3"}).Draw(t, "peer")
				crashes := rapid.IntRange(1, 2).Draw(t, "crashes")
				news := keeper.PeerCrashed(now, peer, print, crashes)
				if peers[print] == nil {
					peers[print] = map[lagoonstile.InstanceID]int{}
				}
				if crashes > peers[print][peer] {
					peers[print][peer] = crashes
					judge(t, print, news)
				}
			},
			"": func(t *rapid.T) {
				for print := quarantiner.Print(1); print <= 3; print++ {
					want := quarantiner.Freely
					switch {
					case quarantined[print]:
						want = quarantiner.Not
					case count(print) > 0:
						want = quarantiner.Alone
					}
					if got := keeper.Admit(now, print); got != want {
						t.Fatalf("request %d with %d crashes may run %s, want %s", print, count(print), got, want)
					}
				}
			},
		})
	})
}

// TestInnocentNeighbourIsCleared lets a request run freely again once it ended
// well alone, although peers still tell of the old crash.
func TestInnocentNeighbourIsCleared(t *testing.T) {
	var keeper quarantiner.Keeper
	now := time.Unix(0, 0)
	keeper.Crashed(now, 1)
	keeper.Cleared(now, 1)
	keeper.PeerCrashed(now, "proxy-2", 1, 1)
	if got := keeper.Admit(now, 1); got != quarantiner.Freely {
		t.Errorf("may run %s, want %s", got, quarantiner.Freely)
	}
	if keeper.Crashed(now, 1) {
		t.Error("quarantined after one crash since it was cleared")
	}
}

// TestSuspicionAndQuarantineEnd forgets after a while.
func TestSuspicionAndQuarantineEnd(t *testing.T) {
	var keeper quarantiner.Keeper
	now := time.Unix(0, 0)
	keeper.Crashed(now, 1)
	keeper.Quarantine(now, 2)
	later := now.Add(2 * time.Hour)
	for _, print := range []quarantiner.Print{1, 2} {
		if got := keeper.Admit(later, print); got != quarantiner.Freely {
			t.Errorf("request %d may run %s after two hours", print, got)
		}
	}
}
