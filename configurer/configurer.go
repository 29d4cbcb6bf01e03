// Package configurer computes the configuration in force from the stream of
// configuration records in the platform's log.
//
// This is the only mechanism by which the fleet agrees on its configuration. The
// state is a pure function of the stream (a fold over its records), so every
// instance that has read up to the same offset holds the same version, without
// asking other instances.
//
// Three rules make this safe:
//
//   - A change takes effect only if its base is the version in force at its
//     place in the stream. If two changes have the same base, the first one in
//     the log takes effect, on every instance.
//   - A change takes effect at most once, as identified by its ID. A publisher
//     that lost the response to an append can therefore append the change again.
//   - A state always includes every record before some offset. If records
//     expired before they were read, their effect is unknown, so changes are
//     ignored until a snapshot closes the gap. To apply changes after a gap
//     would be unsafe: a change that all other instances refused could take
//     effect here, because the one that preceded it was missed.
package configurer

import (
	"fmt"
	"slices"

	"lagoonstile"
	"lagoonstile/encoder"
)

// Verdict is the effect of a record.
type Verdict string

// Values of Verdict.
const (
	// VerdictInForce means that a change took effect.
	VerdictInForce Verdict = "in-force"
	// VerdictRepeated means that the change had already taken effect.
	VerdictRepeated Verdict = "repeated"
	// VerdictStaleBase means that the base of a change is not the version in force.
	VerdictStaleBase Verdict = "stale-base"
	// VerdictInvalid means that the record breaks a rule or cannot be decoded.
	VerdictInvalid Verdict = "invalid"
	// VerdictAdopted means that a snapshot replaced the state.
	VerdictAdopted Verdict = "adopted"
	// VerdictNotNewer means that a snapshot is not newer than the state, or that the
	// record was read before.
	VerdictNotNewer Verdict = "not-newer"
	// VerdictAfterGap means that a change was ignored because of a gap before it.
	VerdictAfterGap Verdict = "blind"
	// VerdictAhead means that records before this one must be read first.
	VerdictAhead Verdict = "ahead"
)

// Outcome describes the effect of one record.
type Outcome struct {
	Verdict Verdict
	// Change is the ID and author of the change that the record holds, and the
	// version that it made if it took effect, now or before. It is zero for other
	// records.
	Change lagoonstile.Accepted
	// Winner is the change that made the version in force, if the verdict is
	// VerdictStaleBase.
	Winner lagoonstile.Accepted
	// Snapshot is the version of the snapshot that the record holds, or 0.
	Snapshot lagoonstile.Version
	// Err is the reason if the verdict is VerdictInvalid.
	Err error
}

// recentLimit is how many accepted changes are remembered. A publisher can learn
// whether its change took effect from any snapshot while it is among these.
const recentLimit = 256

// Replica is the state of one reader of the stream. The zero value has read nothing.
type Replica struct {
	config lagoonstile.Configuration
	// next is the offset of the first record that config does not include, unless
	// gap is set.
	next lagoonstile.Offset
	// gap is set if records before next expired before they were read.
	gap bool
	// recent holds the last accepted changes, oldest first.
	recent []lagoonstile.Accepted
}

// Configuration returns the configuration in force.
func (f *Replica) Configuration() lagoonstile.Configuration { return f.config }

// Next returns the offset of the next record to read.
func (f *Replica) Next() lagoonstile.Offset { return f.next }

// HasGap reports whether records expired before they were read, so that changes
// are ignored until a snapshot is adopted.
func (f *Replica) HasGap() bool { return f.gap }

// Recent returns the most recent changes that took effect, oldest first. The
// caller must not modify the result.
func (f *Replica) Recent() []lagoonstile.Accepted { return f.recent }

// SkipTo tells the fold that the log has no records before first. If the fold has
// not read all of those, it has a gap from then on.
func (f *Replica) SkipTo(first lagoonstile.Offset) {
	if first <= f.next {
		return
	}
	f.next = first
	f.gap = true
}

// Apply applies one entry of the stream. An entry that was read before is
// ignored. An entry after Next is ignored too; the reader must read again from
// Next, which a snapshot may have moved back.
func (f *Replica) Apply(entry lagoonstile.Entry) Outcome {
	if entry.Offset < f.next {
		return Outcome{Verdict: VerdictNotNewer}
	}
	if entry.Offset > f.next {
		return Outcome{Verdict: VerdictAhead}
	}
	f.next = entry.Offset + 1
	var record lagoonstile.Record
	if err := encoder.Decode(entry.Data, &record); err != nil {
		return Outcome{Verdict: VerdictInvalid, Err: err}
	}
	switch {
	case record.Change != nil && record.Snapshot == nil:
		return f.applyChange(record.Change)
	case record.Snapshot != nil && record.Change == nil:
		if record.Snapshot.Next > entry.Offset {
			return Outcome{Verdict: VerdictInvalid, Err: fmt.Errorf("snapshot at offset %d covers offset %d", entry.Offset, record.Snapshot.Next)}
		}
		out := f.Adopt(record.Snapshot)
		out.Snapshot = record.Snapshot.Configuration.Version
		return out
	}
	return Outcome{Verdict: VerdictInvalid, Err: fmt.Errorf("record at offset %d: want either a change or a snapshot", entry.Offset)}
}

// applyChange applies a change if there is no gap, the change has not taken
// effect before, its base is the version in force, and the result is valid.
func (f *Replica) applyChange(change *lagoonstile.Change) Outcome {
	out := Outcome{Change: lagoonstile.Accepted{ID: change.ID, Author: change.Author}}
	if f.gap {
		out.Verdict = VerdictAfterGap
		return out
	}
	if previous, ok := f.findAccepted(change.ID); ok {
		out.Verdict = VerdictRepeated
		out.Change = previous
		return out
	}
	if change.Base != f.config.Version {
		out.Verdict = VerdictStaleBase
		if n := len(f.recent); n > 0 {
			out.Winner = f.recent[n-1]
		}
		return out
	}
	next, err := f.config.Apply(change)
	if err != nil {
		out.Verdict = VerdictInvalid
		out.Err = err
		return out
	}
	f.config = next
	out.Verdict = VerdictInForce
	out.Change.Version = next.Version
	f.addRecent(out.Change)
	return out
}

// Adopt replaces the state with a snapshot from the stream or from a peer if the
// snapshot is newer or closes a gap. Next then follows the snapshot if that is
// further on or if there was a gap, so it can move back after a gap. The version
// never decreases.
func (f *Replica) Adopt(snapshot *lagoonstile.Snapshot) Outcome {
	version := snapshot.Configuration.Version
	if version < f.config.Version || (version == f.config.Version && !f.gap) {
		return Outcome{Verdict: VerdictNotNewer}
	}
	if err := snapshot.Configuration.Validate(); err != nil {
		return Outcome{Verdict: VerdictInvalid, Err: fmt.Errorf("snapshot of version %d: %w", version, err)}
	}
	f.config = snapshot.Configuration
	f.recent = slices.Clone(snapshot.Recent)
	if f.gap || snapshot.Next > f.next {
		f.next = snapshot.Next
	}
	f.gap = false
	return Outcome{Verdict: VerdictAdopted}
}

// Snapshot returns the state as a snapshot for the stream and for peers. The
// second result is false if there is a gap or no configuration yet.
func (f *Replica) Snapshot() (*lagoonstile.Snapshot, bool) {
	if f.gap || f.config.Version == 0 {
		return nil, false
	}
	return &lagoonstile.Snapshot{Configuration: f.config, Next: f.next, Recent: slices.Clone(f.recent)}, true
}

// findAccepted returns the recent accepted change with the given ID, if any.
func (f *Replica) findAccepted(id lagoonstile.ChangeID) (lagoonstile.Accepted, bool) {
	for _, change := range f.recent {
		if change.ID == id {
			return change, true
		}
	}
	return lagoonstile.Accepted{}, false
}

// addRecent adds a change to the recent ones and discards the oldest beyond
// recentLimit.
func (f *Replica) addRecent(accepted lagoonstile.Accepted) {
	f.recent = append(f.recent, accepted)
	if len(f.recent) > recentLimit {
		f.recent = slices.Clone(f.recent[len(f.recent)-recentLimit:])
	}
}
