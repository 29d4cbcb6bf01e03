package controller

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lagoonstile"
	"lagoonstile/auditor"
	"lagoonstile/counter"
	"lagoonstile/ejector"
	"lagoonstile/encoder"
	"lagoonstile/gossiper"
	"lagoonstile/internal/checker"
)

// encodeEntry returns the log entry that holds the record.
func encodeEntry(tb rapid.TB, offset lagoonstile.Offset, record lagoonstile.Record) lagoonstile.Entry {
	data, err := encoder.Encode(record)
	if err != nil {
		tb.Fatalf("%v", err)
	}
	return lagoonstile.Entry{Offset: offset, Data: data}
}

// TestControlUnderFaults applies traffic with every result, draining servers,
// digests from peers, published changes and the passing of time to a state in
// random order. After each step it checks that the version has not decreased,
// that the service keeps its floor among the servers that are not draining, that
// a draining server gets no traffic, and that the table lists the servers in use.
func TestControlUnderFaults(t *testing.T) {
	const perService = 6
	checker.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		s := New(rand.New(rand.NewPCG(1, 1)))
		s.SetIdentity(now, Identity{Instance: "proxy-1", Incarnation: "i", FailureDomain: "domain-1"})
		offset := lagoonstile.Offset(0)
		service := func(floor float64, servers int) *lagoonstile.Service {
			change := newChange(servers)
			change.Set[0].Floor = floor
			return change.Set[0]
		}
		publish := func(t *rapid.T, floor float64, servers int) {
			change := &lagoonstile.Change{ID: lagoonstile.ChangeID(fmt.Sprint(offset)), Base: s.Version(), Set: []*lagoonstile.Service{service(floor, servers)}}
			entry := encodeEntry(t, offset, lagoonstile.Record{Change: change})
			offset++
			s.ApplyPage(now, lagoonstile.Page{Next: offset, Entries: []lagoonstile.Entry{entry}})
		}
		publish(t, 0.5, perService)
		highest := s.Version()
		pick := func(t *rapid.T) *server {
			order := s.order[0].order
			return order[rapid.IntRange(0, len(order)-1).Draw(t, "server")]
		}
		reports := map[gossiper.Key]gossiper.Report{}
		t.Repeat(map[string]func(*rapid.T){
			"traffic": func(t *rapid.T) {
				results := []counter.Result{counter.ResultGood, counter.ResultBad, counter.ResultSlow, counter.ResultLinkFailure, counter.ResultShed}
				result := rapid.SampledFrom(results).Draw(t, "result")
				live := pick(t).target.Live
				for range rapid.IntRange(1, 20).Draw(t, "requests") {
					live.Observe(result, 20*time.Millisecond)
				}
			},
			"draining": func(t *rapid.T) { pick(t).target.Live.SetDraining() },
			"digest": func(t *rapid.T) {
				report := reports[pick(t).key]
				report.Key = pick(t).key
				report.Good += uint64(rapid.IntRange(0, 20).Draw(t, "good"))
				report.Bad += uint64(rapid.IntRange(0, 20).Draw(t, "bad"))
				report.Ejected = rapid.Bool().Draw(t, "ejected")
				reports[report.Key] = report
				origin := rapid.SampledFrom([]lagoonstile.InstanceID{"proxy-2", "proxy-3"}).Draw(t, "origin")
				s.MergeDigest(now, gossiper.Digest{Origin: origin, Incarnation: "i", Reports: []gossiper.Report{report}, Full: rapid.Bool().Draw(t, "full")})
			},
			"publish": func(t *rapid.T) {
				publish(t, rapid.SampledFrom([]float64{0.2, 0.5, 1}).Draw(t, "floor"), rapid.IntRange(1, perService).Draw(t, "servers"))
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(100, 60_000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				now = now.Add(100 * time.Millisecond)
				s.Tick(now)
				if s.Version() < highest || s.Table().Version != s.Version() {
					t.Fatalf("version %d, want at least %d and equal to the table's version %d", s.Version(), highest, s.Table().Version)
				}
				highest = s.Version()
				status := s.Services()[0]
				draining := 0
				for _, server := range status.Servers {
					if server.State == ejector.StateDraining {
						draining++
						if server.Weight > 0 {
							t.Fatalf("draining server %s has weight %v, want 0", server.Server, server.Weight)
						}
					}
				}
				if want := min(status.Floor, len(status.Servers)-draining); status.InUse < want {
					t.Fatalf("too few servers in use: %d with floor %d and %d draining: %+v", status.InUse, status.Floor, draining, status.Servers)
				}
				if pool := s.Table().Entry(status.Service).Pool; len(pool.Targets) != status.InUse {
					t.Fatalf("%d targets in the table, want the %d servers in use", len(pool.Targets), status.InUse)
				}
			},
		})
	})
}

// TestStartWithoutLog checks that an instance which cannot read the log starts
// with a peer's configuration, and that it does not serve from a stream whose
// first records have expired.
func TestStartWithoutLog(t *testing.T) {
	peer := newStateWith(t, 30)
	snapshot, ok := peer.Snapshot()
	if !ok {
		t.Fatal("no snapshot")
	}
	now := time.Unix(0, 0)
	fresh := New(rand.New(rand.NewPCG(1, 1)))
	fresh.Adopt(now, snapshot)
	if fresh.Table() == nil || fresh.Version() != peer.Version() {
		t.Errorf("version %d after adopting a peer's snapshot, want %d", fresh.Version(), peer.Version())
	}
	late := New(rand.New(rand.NewPCG(1, 1)))
	late.ApplyPage(now, lagoonstile.Page{First: 5, Next: 6, Entries: []lagoonstile.Entry{encodeEntry(t, 5, lagoonstile.Record{Change: newChange(30)})}})
	if late.Table() != nil || !late.HasGap() {
		t.Error("a change was applied although earlier records had expired")
	}
	late.Adopt(now, snapshot)
	if late.Table() == nil || late.HasGap() {
		t.Error("adopting a snapshot did not close the gap")
	}
}

// TestSnapshotsAreRenewedBeforeTheyExpire checks that a snapshot is due before
// the last one expires, and that none is due right after another instance has
// appended one.
func TestSnapshotsAreRenewedBeforeTheyExpire(t *testing.T) {
	const retention = time.Hour
	now := time.Unix(0, 0)
	s := newStateWith(t, 30)
	s.ApplyPage(now, lagoonstile.Page{Next: 1, Retention: retention})
	if _, due := s.DueSnapshot(now.Add(retention/4), retention); due {
		t.Error("snapshot is due after a quarter of the retention")
	}
	snapshot, due := s.DueSnapshot(now.Add(retention/2+time.Minute), retention)
	if !due {
		t.Fatal("snapshot is not due after half of the retention")
	}
	now = now.Add(retention/2 + 2*time.Minute)
	entry := encodeEntry(t, 1, lagoonstile.Record{Snapshot: snapshot})
	entry.At = now
	s.ApplyPage(now, lagoonstile.Page{Next: 2, Retention: retention, Entries: []lagoonstile.Entry{entry}})
	if _, due := s.DueSnapshot(now.Add(retention/4), retention); due {
		t.Error("snapshot is due although another instance has just appended one")
	}
}

// TestAuditTrailIsBounded checks that a full audit queue drops the oldest events
// and reports how many.
func TestAuditTrailIsBounded(t *testing.T) {
	var queue auditor.Queue
	const events = 10_000
	for i := range events {
		queue.Add(auditor.Event{Kind: auditor.KindEjected, Detail: fmt.Sprint(i)})
	}
	if queue.Waiting() > 4096 {
		t.Fatalf("%d events are waiting, want at most 4096", queue.Waiting())
	}
	written, dropped := 0, ""
	for {
		batch, ok := queue.Next(time.Unix(0, 0), "proxy-1")
		if !ok {
			break
		}
		for _, event := range batch.Events {
			if event.Kind == auditor.KindDropped {
				dropped = event.Detail
				continue
			}
			written++
		}
		queue.Done(batch)
	}
	if want := fmt.Sprintf("events=%d", events-written); written != 4096 || dropped != want {
		t.Errorf("%d events written, dropped %q; want 4096, %q", written, dropped, want)
	}
}
