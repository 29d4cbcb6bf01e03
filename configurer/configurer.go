// Package configurer computes the configuration in force from the stream of
// configuration records in the platform's log.
//
// This is the only mechanism by which the fleet agrees on its configuration. The
// state is a pure function of the stream (a fold over its records), so every
// instance that has read up to the same offset without a gap holds the same
// version, without asking other instances.
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
//     ignored until a snapshot closes the gap. Applying changes after a gap
//     would be unsafe: a change that all other instances refused because of an
//     earlier one could take effect here if the earlier one was missed.
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
	// Change holds the ID and the author of the record's change, and the resulting
	// version if the change took effect, now or before. It is zero for other
	// records.
	Change lagoonstile.AcceptedChange
	// Winner is the change that produced the version in force, if the verdict is
	// VerdictStaleBase and that change is known.
	Winner lagoonstile.AcceptedChange
	// Snapshot is the version of the snapshot that the record holds, or 0.
	Snapshot lagoonstile.Version
	// Err is the reason if the verdict is VerdictInvalid.
	Err error
}

// recentLimit is the number of accepted changes that are remembered. As long as a
// change is among them, its publisher can learn from any snapshot whether it took
// effect.
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
	recent []lagoonstile.AcceptedChange
}

// Configuration returns the configuration in force.
func (r *Replica) Configuration() lagoonstile.Configuration { return r.config }

// Next returns the offset of the next record to read.
func (r *Replica) Next() lagoonstile.Offset { return r.next }

// HasGap reports whether records expired before they were read, so that changes
// are ignored until a snapshot is adopted.
func (r *Replica) HasGap() bool { return r.gap }

// Recent returns the most recent changes that took effect, oldest first. The
// caller must not modify the result.
func (r *Replica) Recent() []lagoonstile.AcceptedChange { return r.recent }

// SkipTo tells the replica that the log has no records before first. If the
// replica has not read all records before first, it has a gap from then on.
func (r *Replica) SkipTo(first lagoonstile.Offset) {
	if first <= r.next {
		return
	}
	r.next = first
	r.gap = true
}

// Apply applies one entry of the stream. An entry that was read before is
// ignored. An entry after Next is ignored too. The reader must then read again
// from Next, which a snapshot may have moved back.
func (r *Replica) Apply(entry lagoonstile.Entry) Outcome {
	if entry.Offset < r.next {
		return Outcome{Verdict: VerdictNotNewer}
	}
	if entry.Offset > r.next {
		return Outcome{Verdict: VerdictAhead}
	}
	r.next = entry.Offset + 1
	var record lagoonstile.Record
	if err := encoder.Decode(entry.Data, &record); err != nil {
		return Outcome{Verdict: VerdictInvalid, Err: err}
	}
	switch {
	case record.Change != nil && record.Snapshot == nil:
		return r.applyChange(record.Change)
	case record.Snapshot != nil && record.Change == nil:
		if record.Snapshot.Next > entry.Offset {
			return Outcome{Verdict: VerdictInvalid, Err: fmt.Errorf("snapshot at offset %d covers offset %d", entry.Offset, record.Snapshot.Next)}
		}
		out := r.Adopt(record.Snapshot)
		out.Snapshot = record.Snapshot.Configuration.Version
		return out
	}
	return Outcome{Verdict: VerdictInvalid, Err: fmt.Errorf("record at offset %d: want either a change or a snapshot", entry.Offset)}
}

// applyChange applies a change if there is no gap, the change has not taken
// effect before, its base is the version in force, and the result is valid.
func (r *Replica) applyChange(change *lagoonstile.Change) Outcome {
	out := Outcome{Change: lagoonstile.AcceptedChange{ID: change.ID, Author: change.Author}}
	if r.gap {
		out.Verdict = VerdictAfterGap
		return out
	}
	if previous, ok := r.findAccepted(change.ID); ok {
		out.Verdict = VerdictRepeated
		out.Change = previous
		return out
	}
	if change.Base != r.config.Version {
		out.Verdict = VerdictStaleBase
		if n := len(r.recent); n > 0 {
			out.Winner = r.recent[n-1]
		}
		return out
	}
	next, err := r.config.Apply(change)
	if err != nil {
		out.Verdict = VerdictInvalid
		out.Err = err
		return out
	}
	r.config = next
	out.Verdict = VerdictInForce
	out.Change.Version = next.Version
	r.addRecent(out.Change)
	return out
}

// Adopt replaces the state with a snapshot from the stream or from a peer if the
// snapshot is valid, and is newer or closes a gap. If it closes a gap, Next becomes
// that of the snapshot and may move back. Otherwise Next becomes that of the
// snapshot only if that is greater. The version never decreases.
func (r *Replica) Adopt(snapshot *lagoonstile.Snapshot) Outcome {
	version := snapshot.Configuration.Version
	if version < r.config.Version || (version == r.config.Version && !r.gap) {
		return Outcome{Verdict: VerdictNotNewer}
	}
	if err := snapshot.Configuration.Validate(); err != nil {
		return Outcome{Verdict: VerdictInvalid, Err: fmt.Errorf("snapshot of version %d: %w", version, err)}
	}
	r.config = snapshot.Configuration
	r.recent = slices.Clone(snapshot.Recent)
	if r.gap || snapshot.Next > r.next {
		r.next = snapshot.Next
	}
	r.gap = false
	return Outcome{Verdict: VerdictAdopted}
}

// Snapshot returns the state as a snapshot for the stream and for peers. The
// second result is false if there is a gap or no configuration yet.
func (r *Replica) Snapshot() (*lagoonstile.Snapshot, bool) {
	if r.gap || r.config.Version == 0 {
		return nil, false
	}
	return &lagoonstile.Snapshot{Configuration: r.config, Next: r.next, Recent: slices.Clone(r.recent)}, true
}

// findAccepted returns the recent accepted change with the given ID, if any.
func (r *Replica) findAccepted(id lagoonstile.ChangeID) (lagoonstile.AcceptedChange, bool) {
	for _, change := range r.recent {
		if change.ID == id {
			return change, true
		}
	}
	return lagoonstile.AcceptedChange{}, false
}

// addRecent adds a change to the recent ones and discards the oldest beyond
// recentLimit.
func (r *Replica) addRecent(accepted lagoonstile.AcceptedChange) {
	r.recent = append(r.recent, accepted)
	if len(r.recent) > recentLimit {
		r.recent = slices.Clone(r.recent[len(r.recent)-recentLimit:])
	}
}
