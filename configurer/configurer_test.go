package configurer_test

import (
	"bytes"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"lagoonstile"
	"lagoonstile/configurer"
	"lagoonstile/encoder"
	"lagoonstile/internal/checker"
)

// stream is a log whose old records expire. It keeps all records for the oracle.
type stream struct {
	records [][]byte
	first   lagoonstile.Offset
}

func (s *stream) append(t *rapid.T, record lagoonstile.Record) {
	data, err := encoder.Encode(record)
	if err != nil {
		t.Fatal(err)
	}
	s.records = append(s.records, data)
}

// reader is an instance that may restart and lose its state.
type reader struct {
	replica configurer.Replica
	// highest is the highest version that was in force since the start.
	highest lagoonstile.Version
}

// read reads up to limit entries of the stream.
func (r *reader) read(s *stream, limit int) {
	r.replica.SkipTo(s.first)
	for range limit {
		offset := r.replica.Next()
		if int(offset) >= len(s.records) {
			return
		}
		r.replica.Apply(lagoonstile.Entry{Offset: offset, At: time.Unix(int64(offset), 0), Data: s.records[offset]})
	}
}

// oracle applies the whole history by simplified rules and returns the floor of
// each service in each version.
func oracle(s *stream) map[lagoonstile.Version]map[lagoonstile.ServiceID]float64 {
	state := map[lagoonstile.ServiceID]float64{}
	version := lagoonstile.Version(0)
	seen := map[lagoonstile.ChangeID]bool{}
	versions := map[lagoonstile.Version]map[lagoonstile.ServiceID]float64{0: {}}
	for _, data := range s.records {
		var record lagoonstile.Record
		if encoder.Decode(data, &record) != nil || record.Change == nil {
			continue
		}
		change := record.Change
		if seen[change.ID] || change.Base != version || change.Set[0].Floor <= 0 {
			continue
		}
		seen[change.ID] = true
		version++
		next := map[lagoonstile.ServiceID]float64{}
		for id, floor := range state {
			next[id] = floor
		}
		next[change.Set[0].ID] = change.Set[0].Floor
		state = next
		versions[version] = state
	}
	return versions
}

// floors returns the floor of each service.
func floors(cfg lagoonstile.Configuration) map[lagoonstile.ServiceID]float64 {
	out := map[lagoonstile.ServiceID]float64{}
	for id, service := range cfg.Services {
		out[id] = service.Floor
	}
	return out
}

func newService(id string, floor float64) *lagoonstile.Service {
	return &lagoonstile.Service{
		ID: lagoonstile.ServiceID(id), Rank: lagoonstile.RankLookups, Floor: floor,
		FalseEjectionsPerWeek: 1, Deadline: time.Second, ConnectionsPerServer: 1,
		Servers: []lagoonstile.Server{{ID: "a", Address: "127.0.0.1:1", FailureDomain: "d", Slots: 6}},
	}
}

// TestReplicaMatchesOracle drives three readers through a random sequence of
// changes, repeated appends, concurrent changes, expiry, restarts and snapshots
// from peers. Each version in force must equal the one that the oracle computes
// from the whole history, and the version of a reader must not decrease.
func TestReplicaMatchesOracle(t *testing.T) {
	checker.Check(t, func(t *rapid.T) {
		log := &stream{}
		readers := []*reader{{}, {}, {}}
		var last *lagoonstile.Change
		serial := 0
		drawReader := func(t *rapid.T) *reader { return readers[rapid.IntRange(0, 2).Draw(t, "reader")] }
		check := func(t *rapid.T) {
			want := oracle(log)
			for i, r := range readers {
				cfg := r.replica.Configuration()
				if cfg.Version < r.highest {
					t.Fatalf("reader %d: version decreased from %d to %d", i, r.highest, cfg.Version)
				}
				r.highest = cfg.Version
				if diff := cmp.Diff(want[cfg.Version], floors(cfg)); diff != "" {
					t.Fatalf("reader %d, version %d: floors (-want +got):\n%s", i, cfg.Version, diff)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) {
				serial++
				base := drawReader(t).replica.Configuration().Version
				floor := rapid.SampledFrom([]float64{0.25, 0.5, 0.75, -1}).Draw(t, "floor")
				service := rapid.SampledFrom([]string{"stock", "orders"}).Draw(t, "service")
				last = &lagoonstile.Change{
					ID: lagoonstile.ChangeID(fmt.Sprint("change-", serial)), Base: base,
					Set: []*lagoonstile.Service{newService(service, floor)},
				}
				log.append(t, lagoonstile.Record{Change: last})
			},
			"append-again": func(t *rapid.T) {
				if last != nil {
					log.append(t, lagoonstile.Record{Change: last})
				}
			},
			"garbage": func(*rapid.T) { log.records = append(log.records, []byte{0xff}) },
			"read":    func(t *rapid.T) { drawReader(t).read(log, rapid.IntRange(1, 5).Draw(t, "entries")) },
			"snapshot": func(t *rapid.T) {
				if snapshot, ok := drawReader(t).replica.Snapshot(); ok {
					log.append(t, lagoonstile.Record{Snapshot: snapshot})
				}
			},
			"offer": func(t *rapid.T) {
				if snapshot, ok := drawReader(t).replica.Snapshot(); ok {
					drawReader(t).replica.Adopt(snapshot)
				}
			},
			"expire": func(t *rapid.T) {
				log.first += lagoonstile.Offset(rapid.IntRange(0, len(log.records)-int(log.first)).Draw(t, "records"))
			},
			"restart": func(t *rapid.T) { *drawReader(t) = reader{} },
			"":        check,
		})
		// Once all readers have read everything and adopted a snapshot of the newest
		// state, all must hold the same version.
		for _, r := range readers {
			r.read(log, len(log.records)+1)
		}
		newest := readers[0]
		for _, r := range readers {
			if !r.replica.HasGap() && (newest.replica.HasGap() || r.replica.Configuration().Version > newest.replica.Configuration().Version) {
				newest = r
			}
		}
		snapshot, ok := newest.replica.Snapshot()
		if !ok {
			return
		}
		for i, r := range readers {
			r.replica.Adopt(snapshot)
			r.read(log, len(log.records)+1)
			if r.replica.Configuration().Version != newest.replica.Configuration().Version {
				t.Fatalf("reader %d ends at version %d, the newest reader at %d", i, r.replica.Configuration().Version, newest.replica.Configuration().Version)
			}
		}
		check(t)
	})
}

// TestVerdicts checks each verdict of Replica.Apply.
func TestVerdicts(t *testing.T) {
	change := func(id string, base lagoonstile.Version, floor float64) lagoonstile.Record {
		return lagoonstile.Record{Change: &lagoonstile.Change{
			ID: lagoonstile.ChangeID(id), Base: base, Author: "anna",
			Set: []*lagoonstile.Service{newService("stock", floor)},
		}}
	}
	snapshot := func(version lagoonstile.Version, next lagoonstile.Offset) lagoonstile.Record {
		cfg := lagoonstile.Configuration{Version: version, Services: map[lagoonstile.ServiceID]*lagoonstile.Service{"stock": newService("stock", 0.5)}}
		return lagoonstile.Record{Snapshot: &lagoonstile.Snapshot{Configuration: cfg, Next: next}}
	}
	steps := []struct {
		name    string
		skip    lagoonstile.Offset
		offset  lagoonstile.Offset
		record  lagoonstile.Record
		verdict configurer.Verdict
		version lagoonstile.Version
	}{
		{"first change", 0, 0, change("a", 0, 0.5), configurer.VerdictInForce, 1},
		{"same change appended again", 0, 1, change("a", 0, 0.5), configurer.VerdictRepeated, 1},
		{"concurrent change with a stale base", 0, 2, change("b", 0, 0.6), configurer.VerdictStaleBase, 1},
		{"invalid change", 0, 3, change("c", 1, 7), configurer.VerdictInvalid, 1},
		{"empty record", 0, 4, lagoonstile.Record{}, configurer.VerdictInvalid, 1},
		{"snapshot of the version in force", 0, 5, snapshot(1, 5), configurer.VerdictNotNewer, 1},
		{"snapshot that covers later offsets", 0, 6, snapshot(9, 9), configurer.VerdictInvalid, 1},
		{"record ahead of the next offset", 0, 9, change("d", 1, 0.7), configurer.VerdictAhead, 1},
		{"change after a gap", 20, 20, change("e", 1, 0.7), configurer.VerdictAfterGap, 1},
		{"snapshot that closes the gap", 0, 21, snapshot(4, 21), configurer.VerdictAdopted, 4},
		{"record read before", 0, 20, change("e", 1, 0.7), configurer.VerdictNotNewer, 4},
		{"change after the gap was closed", 0, 21, change("f", 4, 0.7), configurer.VerdictInForce, 5},
	}
	var replica configurer.Replica
	for _, step := range steps {
		data, err := encoder.Encode(step.record)
		if err != nil {
			t.Fatal(err)
		}
		replica.SkipTo(step.skip)
		out := replica.Apply(lagoonstile.Entry{Offset: step.offset, Data: data})
		if out.Verdict != step.verdict || replica.Configuration().Version != step.version {
			t.Errorf("%s: got verdict %s (error %v) and version %d, want %s and %d", step.name, out.Verdict, out.Err, replica.Configuration().Version, step.verdict, step.version)
		}
	}
}

// TestOddServersInAChange guards against a reader of the log that ends, or no longer
// follows it, because another writer has left an odd list of servers there. Each such
// record must change nothing, and the change behind it must take effect.
func TestOddServersInAChange(t *testing.T) {
	server := func(field string, value any) any {
		server := map[string]any{"id": "a", "address": "127.0.0.1:1", "failure-domain": "d", "slots": 6}
		server[field] = value
		return server
	}
	nested := func(depth int) []byte { return append(bytes.Repeat([]byte{0x81}, depth), 0) } // Arrays of one item.
	tests := []struct {
		name   string
		server any
	}{
		{"nested", cbor.RawMessage(nested(60_000))},
		{"nested in a field that is not known", server("more", cbor.RawMessage(nested(60_000)))},
		{"nested in place of the address", server("address", cbor.RawMessage(nested(10)))},
		{"slots over the largest integer", server("slots", uint64(math.MaxUint64))},
		{"slots of the largest integer", server("slots", math.MaxInt64)},
		{"slots 1e300", server("slots", 1e300)},
		{"negative slots", server("slots", math.MinInt64)},
		{"port 65536", server("address", "127.0.0.1:65536")},
		{"negative port", server("address", "127.0.0.1:-1")},
		{"id that is not UTF-8", server("id", cbor.RawMessage("\x61\xff"))},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			service := map[string]any{
				"id": "stock", "rank": "lookups", "floor": 0.5, "false-ejections-per-week": 1, "deadline": time.Second,
				"connections-per-server": 1, "servers": []any{test.server},
			}
			odd, err := cbor.Marshal(map[string]any{"change": map[string]any{"id": "a", "base": 0, "author": "anna", "set": []any{service}}})
			if err != nil {
				t.Fatal(err)
			}
			sound, err := encoder.Encode(lagoonstile.Record{Change: &lagoonstile.Change{ID: "b", Author: "anna", Set: []*lagoonstile.Service{newService("stock", 0.5)}}})
			if err != nil {
				t.Fatal(err)
			}
			var replica configurer.Replica
			if out := replica.Apply(lagoonstile.Entry{Offset: 0, Data: odd}); out.Verdict != configurer.VerdictInvalid {
				t.Errorf("verdict %s, want %s", out.Verdict, configurer.VerdictInvalid)
			}
			if out := replica.Apply(lagoonstile.Entry{Offset: 1, Data: sound}); out.Verdict != configurer.VerdictInForce {
				t.Errorf("the change behind it: verdict %s (%v), want %s", out.Verdict, out.Err, configurer.VerdictInForce)
			}
		})
	}
}
