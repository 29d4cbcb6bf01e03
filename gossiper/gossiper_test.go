package gossiper_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"lagoonstile"
	"lagoonstile/gossiper"
	"lagoonstile/internal/checker"
)

// TestEvidenceIsNeitherLostNorDoubled lets an origin count answers while its
// digests are lost or duplicated, its connection breaks and its process
// restarts. After each digest that arrives, the receiver's sums must equal what
// the origin has counted since its last full digest.
func TestEvidenceIsNeitherLostNorDoubled(t *testing.T) {
	const key = gossiper.Key(7)
	checker.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		var view gossiper.View
		var sender gossiper.Sender
		complete := gossiper.Digest{Origin: "proxy-1", Incarnation: "a"}
		var good, bad uint64
		// received is the sum of the receiver's deltas. base is what the origin
		// had counted at the last full digest.
		var receivedGood, receivedBad, baseGood, baseBad uint64
		var last *gossiper.Digest
		full := false
		deliver := func(digest gossiper.Digest) {
			if digest.Full {
				baseGood, baseBad = good, bad
				receivedGood, receivedBad = 0, 0
				full = true
			}
			for _, delta := range view.Merge(now, digest) {
				receivedGood += delta.Good
				receivedBad += delta.Bad
			}
		}
		exchange := func(t *rapid.T, arrives bool) {
			now = now.Add(gossiper.LoadInterval)
			complete.Reports = nil
			if good+bad > 0 {
				complete.Reports = []gossiper.Report{{Key: key, Good: good, Bad: bad}}
			}
			digest, due := sender.Next(now, complete)
			if !due {
				t.Fatal("no digest after the load interval")
			}
			if !arrives {
				// A message is lost only if its connection fails.
				sender = gossiper.Sender{}
				return
			}
			last = &digest
			deliver(digest)
			if full && (receivedGood != good-baseGood || receivedBad != bad-baseBad) {
				t.Fatalf("received %d good and %d bad answers, want %d and %d", receivedGood, receivedBad, good-baseGood, bad-baseBad)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"good answer":  func(*rapid.T) { good++ },
			"bad answer":   func(*rapid.T) { bad++ },
			"digest":       func(t *rapid.T) { exchange(t, true) },
			"lost digest":  func(t *rapid.T) { exchange(t, false) },
			"reconnection": func(*rapid.T) { sender = gossiper.Sender{} },
			"copied digest": func(t *rapid.T) {
				if last != nil && !last.Full {
					before := receivedGood + receivedBad
					for _, delta := range view.Merge(now, *last) {
						receivedGood += delta.Good
						receivedBad += delta.Bad
					}
					if receivedGood+receivedBad != before {
						t.Fatal("a duplicated digest was counted twice")
					}
				}
			},
			"restart": func(*rapid.T) {
				good, bad = 0, 0
				receivedGood, receivedBad, baseGood, baseBad = 0, 0, 0, 0
				last, full = nil, false
				complete.Incarnation += "a"
				sender = gossiper.Sender{}
			},
			"": func(*rapid.T) {},
		})
	})
}

// TestUrgentReportsAreSentEarly checks that bad answers and changes of Draining
// and Ejected are sent after UrgentInterval, and good answers are not.
func TestUrgentReportsAreSentEarly(t *testing.T) {
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
		complete := gossiper.Digest{Reports: []gossiper.Report{{Key: 1, Good: 5}}}
		sender.Next(now, complete)
		test.change(&complete.Reports[0])
		_, urgent := sender.Next(now.Add(gossiper.UrgentInterval), complete)
		if urgent != test.urgent {
			t.Errorf("%s: digest due after UrgentInterval %t, want %t", test.name, urgent, test.urgent)
		}
	}
}

// TestSilentPeersExpire checks that the reports of a peer no longer count once
// it has been silent for longer than PeerTimeout.
func TestSilentPeersExpire(t *testing.T) {
	now := time.Unix(0, 0)
	var view gossiper.View
	view.Merge(now, gossiper.Digest{Origin: "proxy-1", Full: true, Reports: []gossiper.Report{{Key: 1, Ejected: true, Draining: true}}})
	flags := view.Flags(now)[1]
	if flags != (gossiper.PeerFlags{Ejected: true, Draining: true}) {
		t.Errorf("flags of a live peer's report: %+v, want both set", flags)
	}
	if late := view.Flags(now.Add(gossiper.PeerTimeout + 1)); len(late) > 0 {
		t.Errorf("reports of a silent peer still count: %v", late)
	}
	if !view.IsAlive(now, "proxy-1") || view.IsAlive(now, lagoonstile.InstanceID("proxy-2")) {
		t.Error("IsAlive is wrong for a peer that sent a digest or for one that did not")
	}
}
