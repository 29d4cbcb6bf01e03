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

// entryOf encodes a record as the log would keep it.
func entryOf(tb rapid.TB, offset lagoonstile.Offset, record lagoonstile.Record) lagoonstile.Entry {
	data, err := encoder.Encode(record)
	if err != nil {
		tb.Fatalf("%v", err)
	}
	return lagoonstile.Entry{Offset: offset, Data: data}
}

// TestControlUnderFaults drives the whole control state of an instance through
// traffic of every result, draining servers, peers' digests, publications and
// time, in any order. After each step the version has not gone down, each
// service keeps its floor among the servers that are not leaving, a leaving
// server gets nothing, and the audit trail is bounded.
func TestControlUnderFaults(t *testing.T) {
	const perService = 6
	checker.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		s := New(rand.New(rand.NewPCG(1, 1)))
		s.SetSelf(now, Identity{Instance: "proxy-1", Incarnation: "i", FailureDomain: "domain-1"})
		offset := lagoonstile.Offset(0)
		service := func(floor float64, servers int) *lagoonstile.Service {
			change := changeOf(servers)
			change.Set[0].Floor = floor
			return change.Set[0]
		}
		publish := func(t *rapid.T, floor float64, servers int) {
			change := &lagoonstile.Change{ID: lagoonstile.ChangeID(fmt.Sprint(offset)), Base: s.Version(), Set: []*lagoonstile.Service{service(floor, servers)}}
			entry := entryOf(t, offset, lagoonstile.Record{Change: change})
			offset++
			s.Page(now, lagoonstile.Page{Next: offset, Entries: []lagoonstile.Entry{entry}})
		}
		publish(t, 0.5, perService)
		highest := s.Version()
		pick := func(t *rapid.T) *server {
			order := s.order[0].order
			return order[rapid.IntRange(0, len(order)-1).Draw(t, "server")]
		}
		cumulative := map[gossiper.Key]gossiper.Report{}
		t.Repeat(map[string]func(*rapid.T){
			"traffic": func(t *rapid.T) {
				results := []counter.Result{counter.ResultGood, counter.ResultBad, counter.ResultSlow, counter.ResultLink, counter.ResultShed}
				result := rapid.SampledFrom(results).Draw(t, "result")
				live := pick(t).target.Live
				for range rapid.IntRange(1, 20).Draw(t, "requests") {
					live.Observe(result, 20*time.Millisecond)
				}
			},
			"draining": func(t *rapid.T) { pick(t).target.Live.SetDraining() },
			"digest": func(t *rapid.T) {
				report := cumulative[pick(t).key]
				report.Key = pick(t).key
				report.Good += uint64(rapid.IntRange(0, 20).Draw(t, "good"))
				report.Bad += uint64(rapid.IntRange(0, 20).Draw(t, "bad"))
				report.Ejected = rapid.Bool().Draw(t, "ejected")
				cumulative[report.Key] = report
				origin := rapid.SampledFrom([]lagoonstile.InstanceID{"proxy-2", "proxy-3"}).Draw(t, "origin")
				s.Digest(now, gossiper.Digest{Origin: origin, Incarnation: "i", Reports: []gossiper.Report{report}, Full: rapid.Bool().Draw(t, "full")})
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
					t.Fatalf("version %d after %d, table %d", s.Version(), highest, s.Table().Version)
				}
				highest = s.Version()
				status := s.Services()[0]
				leaving := 0
				for _, server := range status.Servers {
					if server.State == ejector.StateLeaving {
						leaving++
						if server.Weight > 0 {
							t.Fatalf("%s is leaving and has weight %v", server.Server, server.Weight)
						}
					}
				}
				if want := min(status.Floor, len(status.Servers)-leaving); status.InUse < want {
					t.Fatalf("%d in use, floor %d, %d leaving: %+v", status.InUse, status.Floor, leaving, status.Servers)
				}
				if pool := s.Table().Entry(status.Service).Pool; len(pool.Targets) != status.InUse {
					t.Fatalf("%d targets in the table, %d in use", len(pool.Targets), status.InUse)
				}
			},
		})
	})
}

// TestStartWithoutLog puts a peer's configuration in force when the log cannot
// be read, and does not serve from a stream whose start has expired.
func TestStartWithoutLog(t *testing.T) {
	peer := stateOf(t, 30)
	snapshot, ok := peer.Snapshot()
	if !ok {
		t.Fatal("no snapshot")
	}
	now := time.Unix(0, 0)
	fresh := New(rand.New(rand.NewPCG(1, 1)))
	fresh.Adopt(now, snapshot)
	if fresh.Table() == nil || fresh.Version() != peer.Version() {
		t.Errorf("version %d after a peer's %d", fresh.Version(), peer.Version())
	}
	late := New(rand.New(rand.NewPCG(1, 1)))
	late.Page(now, lagoonstile.Page{First: 5, Next: 6, Entries: []lagoonstile.Entry{entryOf(t, 5, lagoonstile.Record{Change: changeOf(30)})}})
	if late.Table() != nil || !late.Blind() {
		t.Error("a change was folded although records before it had expired")
	}
	late.Adopt(now, snapshot)
	if late.Table() == nil || late.Blind() {
		t.Error("a snapshot did not close the gap")
	}
}

// TestSnapshotsAreRenewedBeforeTheyExpire appends one in time, and not again
// once another instance has.
func TestSnapshotsAreRenewedBeforeTheyExpire(t *testing.T) {
	const retention = time.Hour
	now := time.Unix(0, 0)
	s := stateOf(t, 30)
	s.Page(now, lagoonstile.Page{Next: 1, Retention: retention})
	if _, due := s.Renewal(now.Add(retention/4), retention); due {
		t.Error("due after a quarter of the retention")
	}
	snapshot, due := s.Renewal(now.Add(retention/2+time.Minute), retention)
	if !due {
		t.Fatal("not due after half of the retention")
	}
	now = now.Add(retention/2 + 2*time.Minute)
	entry := entryOf(t, 1, lagoonstile.Record{Snapshot: snapshot})
	entry.At = now
	s.Page(now, lagoonstile.Page{Next: 2, Retention: retention, Entries: []lagoonstile.Entry{entry}})
	if _, due := s.Renewal(now.Add(retention/4), retention); due {
		t.Error("due although another instance has just renewed it")
	}
}

// TestAuditTrailIsBounded drops the oldest events and says how many.
func TestAuditTrailIsBounded(t *testing.T) {
	var queue auditor.Queue
	const events = 10_000
	for i := range events {
		queue.Add(auditor.Event{Kind: auditor.KindEjected, Detail: fmt.Sprint(i)})
	}
	if queue.Waiting() > 4096 {
		t.Fatalf("%d events wait", queue.Waiting())
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
