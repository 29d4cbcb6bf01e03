// Package deduplicator keeps the table that makes an order run at most once.
//
// # The rule
//
// Every order carries a key, and every key names its home: one incarnation of
// one instance. Only the home dispatches the order, and it notes the key here
// before the first byte may leave. So the question whether an order may run is
// answered in one process, by one map, without asking anybody. Nothing has to
// be agreed on, no lease can lapse, and an instance that is paused for longer
// than every timeout wakes up to the same table.
//
// What is lost with a crash of the home is the knowledge, never the rule: a
// key whose table is gone gets "unknown", and nobody runs it.
//
// # What a key's answer is
//
// While the order runs, resends wait. Then they get the kept answer; or, when
// that was too large or has been dropped to save memory, the word that it ran.
// A refusal is final for its key: once a caller was told "not-run", the key
// never runs, not even for a copy of the request that arrives late from some
// slow path. A caller who wants the order after all makes a new key.
//
// # Epochs
//
// Keys live for the current epoch of the table and the one after it. A key that
// names an older epoch gets "unknown". That bounds the memory without ever
// forgetting a key that could still be accepted.
package deduplicator

import (
	"slices"
	"time"

	"lagoonstile"
)

// Limits bound a table.
type Limits struct {
	// Keys bounds the keys of orders that may have run, and apart from them the
	// keys that were refused.
	Keys int
	// KeptBytes bounds the answers that are kept.
	KeptBytes int
	// Epoch is how long an epoch lasts.
	Epoch time.Duration
}

// leastEpoch is how long an epoch lasts at least when the table is full.
const leastEpoch = time.Minute

// State is what is known of a key.
type State string

// The states.
const (
	StateRunning State = "running"
	StateKept    State = "kept"
	StateRan     State = "ran"
	StateUnknown State = "unknown"
	StateRefused State = "refused"
)

// Step is what to do with a request.
type Step string

// The steps.
const (
	// StepDispatch: run it; Finish must follow.
	StepDispatch Step = "dispatch"
	// StepWait: it runs already; ask again when it has finished.
	StepWait Step = "wait"
	// StepReplay: give the kept answer.
	StepReplay Step = "replay"
	// StepRan: it ran, the answer is gone.
	StepRan Step = "ran"
	// StepUnknown: it may have run.
	StepUnknown Step = "unknown"
	// StepRefused: it did not run and never will.
	StepRefused Step = "refused"
	// StepMismatch: the key belongs to another request.
	StepMismatch Step = "mismatch"
	// StepFull: refused for want of room, for good.
	StepFull Step = "full"
	// StepSealed: the table is being handed over.
	StepSealed Step = "sealed"
)

// Verdict is a step with the kept answer for StepReplay.
type Verdict[A any] struct {
	Step   Step
	Answer A
}

// Entry is what a table knows of one key.
type Entry[A any] struct {
	Key string `cbor:"1,keyasint"`
	// Print tells the request apart from others with the same key.
	Print uint64 `cbor:"2,keyasint"`
	State State  `cbor:"3,keyasint"`
	// Answer and Size are set for kept answers.
	Answer A   `cbor:"4,keyasint"`
	Size   int `cbor:"5,keyasint,omitempty"`
	// Epoch is the one that the key names.
	Epoch uint64 `cbor:"6,keyasint"`
}

// Table is the keys of one home. It is not safe for concurrent use.
type Table[A any] struct {
	home   lagoonstile.Home
	limits Limits
	// entries holds keys of the current epoch and the one before, only.
	entries map[string]*Entry[A]
	// rotated is when the current epoch began, born when the table came here.
	rotated, born time.Time
	// refused and others count entries by what bounds them.
	refused, others int
	// kept lists the keys with kept answers, oldest first; keptBytes is the sum
	// of their sizes and never over the limit.
	kept      []string
	keptBytes int
	sealed    bool
}

// New returns the empty table of an incarnation. Its first epoch is 1.
func New[A any](now time.Time, instance lagoonstile.InstanceID, incarnation lagoonstile.Incarnation, limits Limits) *Table[A] {
	return &Table[A]{
		home:    lagoonstile.Home{Instance: instance, Incarnation: incarnation, Epoch: 1},
		limits:  limits,
		entries: make(map[string]*Entry[A]),
		rotated: now,
		born:    now,
	}
}

// Home returns the token for new keys.
func (t *Table[A]) Home() lagoonstile.Home { return t.home }

// Born returns when the table came to this instance.
func (t *Table[A]) Born() time.Time { return t.born }

// Len returns how many keys the table holds.
func (t *Table[A]) Len() int { return len(t.entries) }

// Running returns how many orders run.
func (t *Table[A]) Running() int {
	n := 0
	for _, entry := range t.entries {
		if entry.State == StateRunning {
			n++
		}
	}
	return n
}

// Begin decides on a request with the given key, which names the given epoch.
func (t *Table[A]) Begin(now time.Time, key string, epoch uint64, print uint64) Verdict[A] {
	t.rotate(now)
	if entry := t.entries[key]; entry != nil {
		return t.known(entry, print)
	}
	switch {
	case epoch > t.home.Epoch || epoch+1 < t.home.Epoch:
		return Verdict[A]{Step: StepUnknown}
	case t.sealed:
		return Verdict[A]{Step: StepSealed}
	case t.others >= t.limits.Keys:
		return t.refuseForRoom(key, epoch, print)
	}
	t.entries[key] = &Entry[A]{Key: key, Print: print, State: StateRunning, Epoch: epoch}
	t.others++
	return Verdict[A]{Step: StepDispatch}
}

func (t *Table[A]) known(entry *Entry[A], print uint64) Verdict[A] {
	if entry.Print != print {
		return Verdict[A]{Step: StepMismatch}
	}
	switch entry.State {
	case StateRunning:
		return Verdict[A]{Step: StepWait}
	case StateKept:
		return Verdict[A]{Step: StepReplay, Answer: entry.Answer}
	case StateRan:
		return Verdict[A]{Step: StepRan}
	case StateRefused:
		return Verdict[A]{Step: StepRefused}
	}
	return Verdict[A]{Step: StepUnknown}
}

// refuseForRoom notes the refusal, so that it is final. Without room even for
// that nothing may be promised.
func (t *Table[A]) refuseForRoom(key string, epoch, print uint64) Verdict[A] {
	if t.refused >= t.limits.Keys {
		return Verdict[A]{Step: StepUnknown}
	}
	t.entries[key] = &Entry[A]{Key: key, Print: print, State: StateRefused, Epoch: epoch}
	t.refused++
	return Verdict[A]{Step: StepFull}
}

// Keep ends a running order whose answer is kept.
func (t *Table[A]) Keep(key string, answer A, size int) {
	entry := t.running(key)
	if entry == nil {
		return
	}
	if size > t.limits.KeptBytes {
		entry.State = StateRan
		return
	}
	entry.State = StateKept
	entry.Answer = answer
	entry.Size = size
	t.kept = append(t.kept, key)
	t.keptBytes += size
	t.dropKept()
}

// dropKept drops the oldest answers over the limit; the keys stay.
func (t *Table[A]) dropKept() {
	for t.keptBytes > t.limits.KeptBytes {
		oldest := t.entries[t.kept[0]]
		t.kept = t.kept[1:]
		if oldest == nil || oldest.State != StateKept {
			continue
		}
		var none A
		t.keptBytes -= oldest.Size
		oldest.State = StateRan
		oldest.Answer = none
		oldest.Size = 0
	}
}

// Ran ends a running order whose answer is not kept.
func (t *Table[A]) Ran(key string) {
	if entry := t.running(key); entry != nil {
		entry.State = StateRan
	}
}

// Unknown ends a running order that may have run.
func (t *Table[A]) Unknown(key string) {
	if entry := t.running(key); entry != nil {
		entry.State = StateUnknown
	}
}

// Refuse ends a running order that did not run; its key never will. It reports
// false when there is no room to keep that promise: the outcome then is
// unknown.
func (t *Table[A]) Refuse(key string) bool {
	entry := t.running(key)
	if entry == nil {
		return false
	}
	if t.refused >= t.limits.Keys {
		entry.State = StateUnknown
		return false
	}
	entry.State = StateRefused
	t.others--
	t.refused++
	return true
}

func (t *Table[A]) running(key string) *Entry[A] {
	entry := t.entries[key]
	if entry == nil || entry.State != StateRunning {
		return nil
	}
	return entry
}

// rotate begins a new epoch when the current one has lasted long enough, or
// earlier when the table is full, and drops the keys of closed epochs.
func (t *Table[A]) rotate(now time.Time) {
	age := now.Sub(t.rotated)
	full := t.others >= t.limits.Keys || t.refused >= t.limits.Keys
	if t.sealed || (age < t.limits.Epoch && (!full || age < leastEpoch)) {
		return
	}
	t.rotated = now
	t.home.Epoch++
	for key, entry := range t.entries {
		if entry.Epoch+1 >= t.home.Epoch {
			continue
		}
		if entry.State == StateRefused {
			t.refused--
		} else {
			t.others--
		}
		t.keptBytes -= entry.Size
		delete(t.entries, key)
	}
	t.kept = slices.DeleteFunc(t.kept, func(key string) bool { return t.entries[key] == nil })
}

// Seal stops the table from taking new keys. Known ones are answered as before.
func (t *Table[A]) Seal() { t.sealed = true }

// Sealed reports whether the table takes no new keys.
func (t *Table[A]) Sealed() bool { return t.sealed }

// Export returns every entry, sorted by key, of a sealed table in which nothing
// runs.
func (t *Table[A]) Export() []Entry[A] {
	out := make([]Entry[A], 0, len(t.entries))
	for _, entry := range t.entries {
		exported := *entry
		if exported.State == StateRunning {
			// It was not waited for; what becomes of it nobody will hear.
			exported.State = StateUnknown
		}
		out = append(out, exported)
	}
	slices.SortFunc(out, func(a, b Entry[A]) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	return out
}

// Adopt returns the table of another home, as its sealed entries have it. It
// takes new keys: the home that sealed it runs none any more. Its epoch ends
// as others do.
func Adopt[A any](now time.Time, home lagoonstile.Home, entries []Entry[A], limits Limits) *Table[A] {
	t := New[A](now, home.Instance, home.Incarnation, limits)
	t.home.Epoch = home.Epoch
	for _, entry := range entries {
		t.entries[entry.Key] = &entry
		if entry.State == StateRefused {
			t.refused++
		} else {
			t.others++
		}
		if entry.State == StateKept {
			t.kept = append(t.kept, entry.Key)
			t.keptBytes += entry.Size
		}
	}
	t.dropKept()
	return t
}
