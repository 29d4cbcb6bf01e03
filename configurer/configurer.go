// Package configurer folds the configuration stream of the platform's log into
// the configuration in force.
//
// The fold is the fleet's only agreement on configuration. It is a pure
// function of the stream, so every instance that has read up to the same
// offset holds the same version, and no instance has to ask another.
//
// Three rules make it safe:
//
//   - A change takes effect only if its base is the version in force at its
//     place in the stream. Of two changes made at the same moment, the log's
//     order decides, the same way everywhere.
//   - A change id takes effect once. An append whose answer was lost is simply
//     appended again.
//   - A state is always the fold of every record before some offset. When
//     records expired unread, what they did is unknown; so the fold stops
//     taking changes until a snapshot closes the gap. Folding on would be
//     worse than waiting: a change refused everywhere else could look like the
//     first one here.
package configurer

import (
	"fmt"
	"slices"

	"lagoonstile"
	"lagoonstile/encoder"
)

// Verdict is what became of a record.
type Verdict string

// The verdicts.
const (
	// VerdictInForce: a change took effect.
	VerdictInForce Verdict = "in-force"
	// VerdictRepeated: the change had taken effect before.
	VerdictRepeated Verdict = "repeated"
	// VerdictStaleBase: another change came first.
	VerdictStaleBase Verdict = "stale-base"
	// VerdictInvalid: the record breaks a rule or cannot be read.
	VerdictInvalid Verdict = "invalid"
	// VerdictAdopted: a snapshot was newer and took the place of the state.
	VerdictAdopted Verdict = "adopted"
	// VerdictNotNewer: a snapshot brought nothing.
	VerdictNotNewer Verdict = "not-newer"
	// VerdictBlind: the record was passed over because of a gap before it.
	VerdictBlind Verdict = "blind"
	// VerdictAhead: records before this one must be read first.
	VerdictAhead Verdict = "ahead"
)

// Outcome tells what one record did.
type Outcome struct {
	Verdict Verdict
	// Change is the change's id, author and version in force afterwards, for
	// records that hold a change.
	Change lagoonstile.Accepted
	// Winner is the change that made the version in force, when another came
	// first.
	Winner lagoonstile.Accepted
	// Snapshot is the version of a record that holds a snapshot.
	Snapshot lagoonstile.Version
	// Err says why a record is invalid.
	Err error
}

// recentLimit bounds how many accepted changes are remembered, so that a
// publisher can learn the fate of its change from any snapshot of that span.
const recentLimit = 256

// Fold is the state of one reader. The zero value has read nothing.
type Fold struct {
	cfg lagoonstile.Configuration
	// next is the offset of the first record that cfg does not include, unless
	// blind is set.
	next lagoonstile.Offset
	// blind says that records before next expired unread.
	blind bool
	// recent holds the last accepted changes, oldest first.
	recent []lagoonstile.Accepted
}

// Configuration returns the configuration in force.
func (f *Fold) Configuration() lagoonstile.Configuration { return f.cfg }

// Next returns the offset to read from.
func (f *Fold) Next() lagoonstile.Offset { return f.next }

// Blind reports whether changes are passed over until a snapshot comes.
func (f *Fold) Blind() bool { return f.blind }

// Recent returns the changes that took effect last, oldest first.
func (f *Fold) Recent() []lagoonstile.Accepted { return f.recent }

// Skip tells the fold that the log keeps nothing before first. Records that
// the fold has not read are lost to it from then on.
func (f *Fold) Skip(first lagoonstile.Offset) {
	if first <= f.next {
		return
	}
	f.next = first
	f.blind = true
}

// Entry folds one entry of the stream. One that was folded before is passed
// over. One that is ahead changes nothing: the reader must read again from
// Next, which a snapshot may have set back.
func (f *Fold) Entry(entry lagoonstile.Entry) Outcome {
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
		return f.change(record.Change)
	case record.Snapshot != nil && record.Change == nil:
		if record.Snapshot.Next > entry.Offset {
			return Outcome{Verdict: VerdictInvalid, Err: fmt.Errorf("snapshot at offset %d covers offset %d", entry.Offset, record.Snapshot.Next)}
		}
		out := f.Adopt(record.Snapshot)
		out.Snapshot = record.Snapshot.Configuration.Version
		return out
	}
	return Outcome{Verdict: VerdictInvalid, Err: fmt.Errorf("record at offset %d: want one of change and snapshot", entry.Offset)}
}

func (f *Fold) change(change *lagoonstile.Change) Outcome {
	out := Outcome{Change: lagoonstile.Accepted{ID: change.ID, Author: change.Author}}
	if f.blind {
		out.Verdict = VerdictBlind
		return out
	}
	if past, ok := f.accepted(change.ID); ok {
		out.Verdict = VerdictRepeated
		out.Change = past
		return out
	}
	if change.Base != f.cfg.Version {
		out.Verdict = VerdictStaleBase
		if n := len(f.recent); n > 0 {
			out.Winner = f.recent[n-1]
		}
		return out
	}
	next, err := f.cfg.Apply(change)
	if err != nil {
		out.Verdict = VerdictInvalid
		out.Err = err
		return out
	}
	f.cfg = next
	out.Verdict = VerdictInForce
	out.Change.Version = next.Version
	f.remember(out.Change)
	return out
}

// Adopt takes the place of the state by a snapshot from the stream or from a
// peer, if that is newer or closes a gap. The offset to read from then follows
// the snapshot: after a gap it may go back, never the version.
func (f *Fold) Adopt(snapshot *lagoonstile.Snapshot) Outcome {
	version := snapshot.Configuration.Version
	if version < f.cfg.Version || (version == f.cfg.Version && !f.blind) {
		return Outcome{Verdict: VerdictNotNewer}
	}
	if err := snapshot.Configuration.Validate(); err != nil {
		return Outcome{Verdict: VerdictInvalid, Err: fmt.Errorf("snapshot of version %d: %w", version, err)}
	}
	f.cfg = snapshot.Configuration
	f.recent = slices.Clone(snapshot.Recent)
	if f.blind || snapshot.Next > f.next {
		f.next = snapshot.Next
	}
	f.blind = false
	return Outcome{Verdict: VerdictAdopted}
}

// Snapshot returns the state as a record for the stream and for peers. The
// second result is false when there is none to give.
func (f *Fold) Snapshot() (*lagoonstile.Snapshot, bool) {
	if f.blind || f.cfg.Version == 0 {
		return nil, false
	}
	return &lagoonstile.Snapshot{Configuration: f.cfg, Next: f.next, Recent: slices.Clone(f.recent)}, true
}

func (f *Fold) accepted(id lagoonstile.ChangeID) (lagoonstile.Accepted, bool) {
	for _, past := range f.recent {
		if past.ID == id {
			return past, true
		}
	}
	return lagoonstile.Accepted{}, false
}

func (f *Fold) remember(accepted lagoonstile.Accepted) {
	f.recent = append(f.recent, accepted)
	if len(f.recent) > recentLimit {
		f.recent = slices.Clone(f.recent[len(f.recent)-recentLimit:])
	}
}
