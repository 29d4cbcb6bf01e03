package gossiper_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"lagoonstile"
	"lagoonstile/gossiper"
	"lagoonstile/internal/checker"
)

// TestEvidenceIsNeitherLostNorDoubled lets an origin count, its digests get
// lost or come twice, its link break and its process start again. What the
// receiver adds up is never more than what the origin counted, and all that it
// counted since the last full digest once a digest has come through.
func TestEvidenceIsNeitherLostNorDoubled(t *testing.T) {
	const key = gossiper.Key(7)
	checker.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		var view gossiper.View
		var sender gossiper.Sender
		whole := gossiper.Digest{Origin: "proxy-1", Incarnation: "a"}
		var good, bad uint64
		// heard is what the receiver added up; base is what the origin had
		// counted at the last full digest.
		var heardGood, heardBad, baseGood, baseBad uint64
		var last *gossiper.Digest
		full := false
		deliver := func(digest gossiper.Digest) {
			if digest.Full {
				baseGood, baseBad = good, bad
				heardGood, heardBad = 0, 0
				full = true
			}
			for _, delta := range view.Merge(now, digest) {
				heardGood += delta.Good
				heardBad += delta.Bad
			}
		}
		exchange := func(t *rapid.T, through bool) {
			now = now.Add(gossiper.LoadInterval)
			whole.Reports = nil
			if good+bad > 0 {
				whole.Reports = []gossiper.Report{{Key: key, Good: good, Bad: bad}}
			}
			digest, due := sender.Next(now, whole)
			if !due {
				t.Fatal("no digest after the load interval")
			}
			if !through {
				// A message is lost only with its connection.
				sender = gossiper.Sender{}
				return
			}
			last = &digest
			deliver(digest)
			if full && (heardGood != good-baseGood || heardBad != bad-baseBad) {
				t.Fatalf("heard %d good, %d bad; the origin counted %d, %d", heardGood, heardBad, good-baseGood, bad-baseBad)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"good":       func(*rapid.T) { good++ },
			"bad":        func(*rapid.T) { bad++ },
			"digest":     func(t *rapid.T) { exchange(t, true) },
			"lost":       func(t *rapid.T) { exchange(t, false) },
			"reconnects": func(*rapid.T) { sender = gossiper.Sender{} },
			"comes twice": func(t *rapid.T) {
				if last != nil && !last.Full {
					before := heardGood + heardBad
					for _, delta := range view.Merge(now, *last) {
						heardGood += delta.Good
						heardBad += delta.Bad
					}
					if heardGood+heardBad != before {
						t.Fatal("a digest counted twice")
					}
				}
			},
			"restarts": func(*rapid.T) {
				good, bad = 0, 0
				heardGood, heardBad, baseGood, baseBad = 0, 0, 0, 0
				last, full = nil, false
				whole.Incarnation += "a"
				sender = gossiper.Sender{}
			},
			"": func(*rapid.T) {},
		})
	})
}

// TestUrgentNewsDoesNotWait sends bad answers and notices between the slower
// digests of load.
func TestUrgentNewsDoesNotWait(t *testing.T) {
	tests := []struct {
		name   string
		change func(*gossiper.Report)
		urgent bool
	}{
		{"good answers", func(r *gossiper.Report) { r.Good++ }, false},
		{"bad answers", func(r *gossiper.Report) { r.Bad++ }, true},
		{"draining", func(r *gossiper.Report) { r.Draining = true }, true},
		{"ejected", func(r *gossiper.Report) { r.Ejected = true }, true},
	}
	for _, test := range tests {
		now := time.Unix(0, 0)
		var sender gossiper.Sender
		whole := gossiper.Digest{Reports: []gossiper.Report{{Key: 1, Good: 5}}}
		sender.Next(now, whole)
		test.change(&whole.Reports[0])
		_, urgent := sender.Next(now.Add(gossiper.UrgentInterval), whole)
		if urgent != test.urgent {
			t.Errorf("%s: sent at once %t, want %t", test.name, urgent, test.urgent)
		}
	}
}

// TestSilentPeersAgeOut forgets what a silent peer said.
func TestSilentPeersAgeOut(t *testing.T) {
	now := time.Unix(0, 0)
	var view gossiper.View
	view.Merge(now, gossiper.Digest{Origin: "proxy-1", Full: true, Reports: []gossiper.Report{{Key: 1, Ejected: true, Draining: true}}})
	around := view.Around(now)[1]
	if around != (gossiper.Around{Ejected: true, Draining: true}) {
		t.Errorf("around %+v", around)
	}
	if late := view.Around(now.Add(gossiper.PeerTimeout + 1)); len(late) > 0 {
		t.Errorf("a silent peer still counts: %v", late)
	}
	if !view.Heard(now, "proxy-1") || view.Heard(now, lagoonstile.InstanceID("proxy-2")) {
		t.Error("Heard does not tell who was heard")
	}
}
