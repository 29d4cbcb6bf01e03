// Package deduplicator keeps the table of idempotency keys that ensures that an
// order, a request that must not run twice, runs at most once.
//
// # Local decisions
//
// Every order carries an idempotency key, and every key names its home: one
// incarnation of one instance. Only the home dispatches the order, and it records
// the key in its table before it sends the first byte to a server. Whether an
// order may run is therefore decided by one process, from one map, without
// communication. The instances need no consensus and no lease that can expire, and
// an instance that is paused for longer than any timeout still has the same table
// when it resumes. A table can move to another instance with Seal, Export and Adopt;
// that instance then decides in place of the home.
//
// A crash of the home loses the table, but never makes an order run twice: the
// answer for a key whose table is lost is "unknown", and no instance runs the
// order.
//
// # Answers
//
// Requests with the same key wait while the order runs. If it ran, they then get the
// stored answer or, if the answer was too large to store or was dropped to save
// memory, only the information that the order ran. A refusal is final: once a caller
// was told "not-run", the order with that key never runs, not even if a delayed copy
// of the request arrives later. A caller that still wants the order must use a new
// key.
//
// # Epochs
//
// A key is valid during the epoch of the table that it names and the next one. The
// answer for a key that names any other epoch is "unknown". The table drops a key
// only when it is no longer valid. This bounds the memory without forgetting a key
// that could still be accepted, so an order that was dispatched cannot be dispatched
// again.
package deduplicator

import (
	"slices"
	"time"

	"lagoonstile"
)

// Limits are the limits of a table.
type Limits struct {
	// MaxKeys is the maximum number of keys of orders that run, ran or may have run,
	// and also the maximum number of refused keys.
	MaxKeys int
	// MaxAnswerBytes is the maximum total size of the stored answers.
	MaxAnswerBytes int
	// EpochDuration is the duration of an epoch. An epoch of a full table may be shorter.
	EpochDuration time.Duration
}

// minEpochDuration is the minimum duration of an epoch when the table is full.
const minEpochDuration = time.Minute

// State is the state of a key.
type State string

// The states.
const (
	// StateRunning means that the order is running.
	StateRunning State = "running"
	// StateAnswerStored means that the order ran and its answer is stored.
	StateAnswerStored State = "kept"
	// StateRan means that the order ran and its answer is not stored.
	StateRan State = "ran"
	// StateUnknown means that the order may have run.
	StateUnknown State = "unknown"
	// StateRefused means that the order did not run and never will.
	StateRefused State = "refused"
)

// Step says how to handle a request.
type Step string

// The steps.
const (
	// StepDispatch: run the order, then call FinishWithAnswer, FinishWithoutAnswer,
	// FinishUnknown or Refuse.
	StepDispatch Step = "dispatch"
	// StepWait: the order is already running; call Begin again when it has ended.
	StepWait Step = "wait"
	// StepReplay: return the stored answer.
	StepReplay Step = "replay"
	// StepRan: the order ran, but its answer is not stored.
	StepRan Step = "ran"
	// StepUnknown: the order may have run.
	StepUnknown Step = "unknown"
	// StepRefused: the order did not run and never will.
	StepRefused Step = "refused"
	// StepMismatch: the key was used for a request with another fingerprint.
	StepMismatch Step = "mismatch"
	// StepFull: the table is full; the order did not run and never will.
	StepFull Step = "full"
	// StepSealed: the table is sealed for a handover and takes no new keys.
	StepSealed Step = "sealed"
)

// Verdict is the decision on a request: a step and, for StepReplay, the stored
// answer.
type Verdict[A any] struct {
	Step   Step
	Answer A
}

// Entry is the record of one key.
type Entry[A any] struct {
	Key string `cbor:"1,keyasint"`
	// Fingerprint is the fingerprint of the request. It detects the use of one key for
	// different requests.
	Fingerprint uint64 `cbor:"2,keyasint"`
	State       State  `cbor:"3,keyasint"`
	// Answer and Size (in bytes) are set only in StateAnswerStored.
	Answer A   `cbor:"4,keyasint"`
	Size   int `cbor:"5,keyasint,omitempty"`
	// Epoch is the epoch that the key names.
	Epoch uint64 `cbor:"6,keyasint"`
}

// Table holds the keys of one home. It is not safe for concurrent use.
type Table[A any] struct {
	// home holds the current epoch.
	home   lagoonstile.Home
	limits Limits
	// entries holds only keys of the current and the previous epoch.
	entries map[string]*Entry[A]
	// epochStart is when the current epoch began. createdAt is when this instance
	// created or adopted the table.
	epochStart, createdAt time.Time
	// refused is the number of entries in StateRefused, notRefused that of all
	// other entries. Each has its own limit.
	refused, notRefused int
	// answerKeys lists the keys with stored answers, oldest first. answerBytes is
	// the total size of these answers and never exceeds the limit.
	answerKeys  []string
	answerBytes int
	sealed      bool
}

// New returns the empty table of an incarnation. Its first epoch is 1.
func New[A any](now time.Time, instance lagoonstile.InstanceID, incarnation lagoonstile.Incarnation, limits Limits) *Table[A] {
	return &Table[A]{
		home:       lagoonstile.Home{Instance: instance, Incarnation: incarnation, Epoch: 1},
		limits:     limits,
		entries:    make(map[string]*Entry[A]),
		epochStart: now,
		createdAt:  now,
	}
}

// Home returns the home that new keys must name, with the current epoch.
func (t *Table[A]) Home() lagoonstile.Home { return t.home }

// CreatedAt returns when this instance created or adopted the table.
func (t *Table[A]) CreatedAt() time.Time { return t.createdAt }

// Len returns the number of keys in the table.
func (t *Table[A]) Len() int { return len(t.entries) }

// Running returns the number of running orders.
func (t *Table[A]) Running() int {
	n := 0
	for _, entry := range t.entries {
		if entry.State == StateRunning {
			n++
		}
	}
	return n
}

// Begin decides on a request with the given key and fingerprint. The epoch is the one
// that the key names. For StepDispatch it records the key as running.
func (t *Table[A]) Begin(now time.Time, key string, epoch uint64, fingerprint uint64) Verdict[A] {
	t.advanceEpoch(now)
	if entry := t.entries[key]; entry != nil {
		return t.verdictForExisting(entry, fingerprint)
	}
	switch {
	case epoch > t.home.Epoch || epoch+1 < t.home.Epoch:
		return Verdict[A]{Step: StepUnknown}
	case t.sealed:
		return Verdict[A]{Step: StepSealed}
	case t.notRefused >= t.limits.MaxKeys:
		return t.refuseFull(key, epoch, fingerprint)
	}
	t.entries[key] = &Entry[A]{Key: key, Fingerprint: fingerprint, State: StateRunning, Epoch: epoch}
	t.notRefused++
	return Verdict[A]{Step: StepDispatch}
}

// verdictForExisting decides on a request whose key is in the table.
func (t *Table[A]) verdictForExisting(entry *Entry[A], fingerprint uint64) Verdict[A] {
	if entry.Fingerprint != fingerprint {
		return Verdict[A]{Step: StepMismatch}
	}
	switch entry.State {
	case StateRunning:
		return Verdict[A]{Step: StepWait}
	case StateAnswerStored:
		return Verdict[A]{Step: StepReplay, Answer: entry.Answer}
	case StateRan:
		return Verdict[A]{Step: StepRan}
	case StateRefused:
		return Verdict[A]{Step: StepRefused}
	}
	return Verdict[A]{Step: StepUnknown}
}

// refuseFull records that an order was refused because the table is full, so that
// the refusal is final. If there is no room to record it, the verdict is
// StepUnknown, because without a record a later request with the key could run.
func (t *Table[A]) refuseFull(key string, epoch, fingerprint uint64) Verdict[A] {
	if t.refused >= t.limits.MaxKeys {
		return Verdict[A]{Step: StepUnknown}
	}
	t.entries[key] = &Entry[A]{Key: key, Fingerprint: fingerprint, State: StateRefused, Epoch: epoch}
	t.refused++
	return Verdict[A]{Step: StepFull}
}

// FinishWithAnswer ends a running order and stores its answer of the given size in
// bytes. An answer that is larger than the limit for all answers is not stored.
func (t *Table[A]) FinishWithAnswer(key string, answer A, size int) {
	entry := t.runningEntry(key)
	if entry == nil {
		return
	}
	if size > t.limits.MaxAnswerBytes {
		entry.State = StateRan
		return
	}
	entry.State = StateAnswerStored
	entry.Answer = answer
	entry.Size = size
	t.answerKeys = append(t.answerKeys, key)
	t.answerBytes += size
	t.evictAnswers()
}

// evictAnswers drops the oldest answers until the total size is within the limit. The
// keys stay in the table.
func (t *Table[A]) evictAnswers() {
	for t.answerBytes > t.limits.MaxAnswerBytes {
		oldest := t.entries[t.answerKeys[0]]
		t.answerKeys = t.answerKeys[1:]
		if oldest == nil || oldest.State != StateAnswerStored {
			continue
		}
		var empty A
		t.answerBytes -= oldest.Size
		oldest.State = StateRan
		oldest.Answer = empty
		oldest.Size = 0
	}
}

// FinishWithoutAnswer ends a running order whose answer is not stored.
func (t *Table[A]) FinishWithoutAnswer(key string) {
	if entry := t.runningEntry(key); entry != nil {
		entry.State = StateRan
	}
}

// FinishUnknown ends a running order that may or may not have run.
func (t *Table[A]) FinishUnknown(key string) {
	if entry := t.runningEntry(key); entry != nil {
		entry.State = StateUnknown
	}
}

// Refuse ends an order that is recorded as running but did not run, and ensures that
// no request with its key runs later. It returns false if there is no room to record
// the refusal; the outcome is then unknown.
func (t *Table[A]) Refuse(key string) bool {
	entry := t.runningEntry(key)
	if entry == nil {
		return false
	}
	if t.refused >= t.limits.MaxKeys {
		entry.State = StateUnknown
		return false
	}
	entry.State = StateRefused
	t.notRefused--
	t.refused++
	return true
}

// runningEntry returns the entry of a running order, or nil.
func (t *Table[A]) runningEntry(key string) *Entry[A] {
	entry := t.entries[key]
	if entry == nil || entry.State != StateRunning {
		return nil
	}
	return entry
}

// advanceEpoch begins a new epoch when the current one has reached its duration, or
// after minEpochDuration if the table is full, and drops the keys that are no longer
// valid. A sealed table stays in its epoch.
func (t *Table[A]) advanceEpoch(now time.Time) {
	epochAge := now.Sub(t.epochStart)
	full := t.notRefused >= t.limits.MaxKeys || t.refused >= t.limits.MaxKeys
	if t.sealed || (epochAge < t.limits.EpochDuration && (!full || epochAge < minEpochDuration)) {
		return
	}
	t.epochStart = now
	t.home.Epoch++
	for key, entry := range t.entries {
		if entry.Epoch+1 >= t.home.Epoch {
			continue
		}
		if entry.State == StateRefused {
			t.refused--
		} else {
			t.notRefused--
		}
		t.answerBytes -= entry.Size
		delete(t.entries, key)
	}
	t.answerKeys = slices.DeleteFunc(t.answerKeys, func(key string) bool { return t.entries[key] == nil })
}

// Seal makes the table reject new keys. Requests with keys in the table are handled
// as before.
func (t *Table[A]) Seal() { t.sealed = true }

// Sealed reports whether the table rejects new keys.
func (t *Table[A]) Sealed() bool { return t.sealed }

// Export returns every entry of a sealed table, sorted by key. It should be called
// when no order is running: a running order is exported in StateUnknown.
func (t *Table[A]) Export() []Entry[A] {
	entries := make([]Entry[A], 0, len(t.entries))
	for _, entry := range t.entries {
		exported := *entry
		if exported.State == StateRunning {
			// The handover did not wait for this order, and its result will not
			// reach the successor.
			exported.State = StateUnknown
		}
		entries = append(entries, exported)
	}
	slices.SortFunc(entries, func(a, b Entry[A]) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	return entries
}

// Adopt returns the table of another home, built from the entries that its sealed
// table exported. The new table accepts new keys, because the sealed one no longer
// does. The number of the epoch stays the same, and its duration starts again.
func Adopt[A any](now time.Time, home lagoonstile.Home, entries []Entry[A], limits Limits) *Table[A] {
	t := New[A](now, home.Instance, home.Incarnation, limits)
	t.home.Epoch = home.Epoch
	for _, entry := range entries {
		t.entries[entry.Key] = &entry
		if entry.State == StateRefused {
			t.refused++
		} else {
			t.notRefused++
		}
		if entry.State == StateAnswerStored {
			t.answerKeys = append(t.answerKeys, entry.Key)
			t.answerBytes += entry.Size
		}
	}
	t.evictAnswers()
	return t
}
