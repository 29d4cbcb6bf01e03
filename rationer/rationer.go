// Package rationer bounds the bytes that a process holds for its clients and servers, and
// those that the kernel may hold for their sockets.
//
// A Budget is the limit of one process, or of one of its listeners. What a connection or
// a request holds is a Share. A share takes bytes from the budget before they are read
// or stored, and gives them back when they are not needed any more. A receive buffer is
// taken in full when the kernel gets leave to fill it. When the budget runs out, the
// shares that have held most for longest with the least progress are revoked: their
// owners give up and return what they hold. If there is none, the one that asks waits
// for a short time and is then refused.
//
// Large takes leave a part of the budget to small ones, so that large bodies cannot
// keep small requests out.
package rationer

import (
	"cmp"
	"context"
	"log/slog"
	"math"
	"slices"
	"sync"
	"time"
)

// Parameters of a budget.
const (
	// largeBytes is the size from which a take is large.
	largeBytes = 64 << 10
	// largePart is the part of the budget that large takes may use, in eighths.
	largePart = 7
	// maxWait is how long a take waits until others have returned enough, and maxWaiting
	// how many may wait at the same time.
	maxWait    = 500 * time.Millisecond
	maxWaiting = 64
	// recheckInterval is how often one that waits looks for shares that have fallen
	// behind, and scanInterval the shortest time between two searches of all shares.
	recheckInterval = 50 * time.Millisecond
	scanInterval    = 10 * time.Millisecond
	// sparePart is the part of the budget, as a divisor, that TakeSpare leaves free.
	sparePart = 2
	// minRate is the progress in bytes per second below which a share falls behind.
	// Clients on slow links are faster.
	minRate = 64 << 10
	// MinBehind is how far behind a share must be to be revoked, and MinWriteBehind how
	// far one must be that writes a response, since the request has run.
	MinBehind      = time.Second
	MinWriteBehind = 5 * time.Second
)

// Phase is what the owner of a share is waiting for.
type Phase string

// The phases of a share. One in phase Working is not revoked.
const (
	Idle    Phase = "idle"    // Waits for a request.
	Reading Phase = "reading" // Reads a request.
	Working Phase = "working" // A request is complete and being served.
	Writing Phase = "writing" // Writes a response that its client does not take.
	Ending  Phase = "ending"  // Waits for its client to close an ended connection.
)

// Kind is what a share is held for.
type Kind string

// The kinds of shares.
const (
	Connection Kind = "connection"
	Request    Kind = "request"
)

// Holding is what shares of one kind hold in one phase.
type Holding struct {
	Kind  Kind
	Phase Phase
}

// Holdings returns the kinds in the phases in which a share of them may be.
func Holdings() []Holding {
	return []Holding{{Connection, Idle}, {Connection, Working}, {Connection, Ending}, {Request, Reading}, {Request, Working}, {Request, Writing}}
}

// Budget is a limit of bytes. The nil budget has no limit.
type Budget struct {
	limit int64

	mu     sync.Mutex
	held   int64
	shares map[*Share]struct{}
	// returned is closed when bytes are returned while somebody waits, or nil. waiting
	// is the number of takes that wait.
	returned chan struct{}
	waiting  int
	// scanned is when all shares were last searched for some to revoke.
	scanned time.Time
	usage   Usage
}

// Usage is what a budget has granted.
type Usage struct {
	// HeldBytes and LimitBytes are what is held now and the limit.
	HeldBytes, LimitBytes int64
	// Refused and Revoked count the takes that were refused and the shares revoked.
	Refused, Revoked int64
	// Held is what is held now, by kind and phase.
	Held map[Holding]int64
}

var _ slog.LogValuer = Usage{}

// LogValue returns what is held in bytes, by kind and phase.
func (u Usage) LogValue() slog.Value {
	var attrs []slog.Attr
	for _, held := range Holdings() {
		attrs = append(attrs, slog.Int64(string(held.Kind)+"-"+string(held.Phase), u.Held[held]))
	}
	return slog.GroupValue(attrs...)
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit, shares: make(map[*Share]struct{})} }

// LargestTake returns the size of the largest take that the budget can grant.
func (b *Budget) LargestTake() int64 {
	if b == nil {
		return math.MaxInt64
	}
	return b.limit / 8 * largePart
}

// Usage returns what the budget has granted.
func (b *Budget) Usage() Usage {
	if b == nil {
		return Usage{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	usage := b.usage
	usage.HeldBytes, usage.LimitBytes = b.held, b.limit
	usage.Held = make(map[Holding]int64)
	for s := range b.shares {
		usage.Held[Holding{s.kind, s.phase}] += s.held
	}
	return usage
}

// Share is what one owner holds of a budget. The nil share takes without a limit.
type Share struct {
	budget *Budget
	kind   Kind
	// revoke makes the owner give up, in the phase in which it was.
	revoke func(Phase)

	// The following fields are guarded by budget.mu.

	held  int64
	phase Phase
	// base is the share of what is given up together with this one, or nil.
	base *Share
	// since is when the phase began, and last when there was progress in it.
	since, last time.Time
	// done counts the bytes that were read or written in the phase.
	done    int64
	revoked bool
	// closed is set by Close. Nothing is granted after it, since nothing would return it.
	closed bool
}

// NewShare returns a share that holds nothing. revoke is called, on another goroutine
// than the owner's, when the owner must give up, with the phase in which it was chosen.
func (b *Budget) NewShare(kind Kind, revoke func(Phase)) *Share {
	if b == nil {
		return nil
	}
	now := time.Now()
	s := &Share{budget: b, kind: kind, revoke: revoke, phase: Idle, since: now, last: now}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shares[s] = struct{}{}
	return s
}

// Begin begins a phase.
func (s *Share) Begin(phase Phase) {
	if s == nil {
		return
	}
	now := time.Now()
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.phase, s.since, s.last, s.done = phase, now, now, 0
	if phase == Working {
		s.revoked = false // The request is complete, so the revocation no longer applies.
	}
}

// SetBase makes what base holds count as held by this share when shares to revoke are
// chosen, because its owner gives both up together. A nil base ends that.
func (s *Share) SetBase(base *Share) {
	if s == nil {
		return
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.base = base
}

// Standing is what a share holds and how far its owner is behind.
type Standing struct {
	HeldBytes int64
	// Behind is how long the owner has made no progress, or too little.
	Behind time.Duration
}

// Standing returns the standing of a share, with that of its base.
func (s *Share) Standing(now time.Time) Standing {
	if s == nil {
		return Standing{}
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	return Standing{HeldBytes: s.total(), Behind: s.behind(now)}
}

// Progress records that n bytes were read or written.
func (s *Share) Progress(n int) {
	if s == nil {
		return
	}
	now := time.Now()
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.done += int64(n)
	s.last = now
}

// Revoked reports whether the owner must give up.
func (s *Share) Revoked() bool {
	if s == nil {
		return false
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	return s.revoked
}

// Take takes n bytes and reports whether the budget grants them. It may revoke other
// shares, and wait for a short time.
func (s *Share) Take(ctx context.Context, n int64) bool {
	if s == nil || s.TryTake(n) {
		return true
	}
	if !s.budget.startWaiting() {
		return s.refuse()
	}
	defer s.budget.stopWaiting()
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	recheck := time.NewTicker(recheckInterval)
	defer recheck.Stop()
	for {
		returned, ok := s.takeOrRevoke(n)
		if ok {
			return true
		}
		if returned == nil {
			return s.refuse()
		}
		select {
		case <-returned:
		case <-recheck.C:
		case <-timer.C:
			return s.refuse()
		case <-ctx.Done():
			return s.refuse()
		}
	}
}

// startWaiting reports whether another take may wait, and counts it if so.
func (b *Budget) startWaiting() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.waiting == maxWaiting {
		return false
	}
	b.waiting++
	return true
}

// stopWaiting ends a wait that startWaiting has counted.
func (b *Budget) stopWaiting() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting--
}

// TryTake takes n bytes if they are free, and reports whether they were.
func (s *Share) TryTake(n int64) bool { return s.takeFree(n, 0) }

// TakeSpare takes n bytes for what its owner can do without, if a good part of the budget
// stays free, and reports whether it did.
func (s *Share) TakeSpare(n int64) bool {
	if s == nil {
		return true
	}
	return s.takeFree(n, s.budget.limit/sparePart)
}

// takeFree takes n bytes if they and others are free.
func (s *Share) takeFree(n, others int64) bool {
	if s == nil {
		return true
	}
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.free(n) < n+others || s.revoked || s.closed {
		return false
	}
	b.held += n
	s.held += n
	return true
}

// refuse counts a take that was refused and returns false.
func (s *Share) refuse() bool {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.budget.usage.Refused++
	return false
}

// takeOrRevoke takes n bytes or, if they are not free, revokes shares that hold them.
// It returns a channel that is closed when bytes are returned, or nil if the share
// itself was revoked or n is over the limit.
func (s *Share) takeOrRevoke(n int64) (<-chan struct{}, bool) {
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.revoked || s.closed || n > b.limit || n >= largeBytes && n > b.LargestTake() {
		return nil, false
	}
	free := b.free(n)
	if free >= n {
		b.held += n
		s.held += n
		return nil, true
	}
	b.revokeBehind(n-free, s)
	if b.returned == nil {
		b.returned = make(chan struct{})
	}
	return b.returned, false
}

// free returns how many bytes are free for a take of n bytes. The caller holds b.mu.
func (b *Budget) free(n int64) int64 {
	limit := b.limit
	if n >= largeBytes {
		limit = b.LargestTake()
	}
	return limit - b.held
}

// revokeBehind revokes shares, those of ended connections first, and else the one that
// holds most for longest with the least progress, until they hold at least need bytes,
// with those that were revoked before and have not returned theirs. If all together do not hold as much, none is
// revoked. The caller holds b.mu.
func (b *Budget) revokeBehind(need int64, except *Share) {
	type candidate struct {
		share *Share
		score float64
		// ending is 1 for an ended connection, and 0 otherwise.
		ending int
	}
	now := time.Now()
	if now.Sub(b.scanned) < scanInterval {
		return
	}
	b.scanned = now
	var candidates []candidate
	var revocable int64
	for s := range b.shares {
		if s.revoked {
			need -= s.total()
			continue
		}
		if score := s.score(now); score > 0 && s != except {
			next := candidate{share: s, score: score}
			if s.phase == Ending {
				next.ending = 1
			}
			candidates = append(candidates, next)
			revocable += s.total()
		}
	}
	if need <= 0 || revocable < need {
		return
	}
	slices.SortFunc(candidates, func(a, c candidate) int {
		return cmp.Or(cmp.Compare(c.ending, a.ending), cmp.Compare(c.score, a.score))
	})
	for _, next := range candidates {
		if need <= 0 {
			return
		}
		need -= next.share.total()
		next.share.revoked = true
		b.usage.Revoked++
		go next.share.revoke(next.share.phase)
	}
}

// total returns what a share holds together with its base. The caller holds budget.mu.
func (s *Share) total() int64 {
	if s.base == nil {
		return s.held
	}
	return s.held + s.base.held
}

// behind returns how long the owner has made no progress, or too little. One that was
// fast and then stopped is behind, too. The caller holds budget.mu.
func (s *Share) behind(now time.Time) time.Duration {
	done := time.Duration(float64(s.done) / minRate * float64(time.Second))
	return max(now.Sub(s.since)-done, now.Sub(s.last))
}

// score returns how much a share holds and how far it is behind, as one number, or 0
// if it must not be revoked. The caller holds budget.mu.
func (s *Share) score(now time.Time) float64 {
	held, behind := s.total(), s.behind(now)
	switch {
	case held == 0 || s.phase == Working:
		return 0
	case behind < MinBehind || s.phase == Writing && behind < MinWriteBehind:
		return 0
	}
	return float64(held) * behind.Seconds()
}

// Return returns n bytes.
func (s *Share) Return(n int64) {
	if s == nil || n == 0 {
		return
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.budget.release(s, n)
}

// Close returns all that the share holds. It may be called more than once.
func (s *Share) Close() {
	if s == nil {
		return
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.budget.release(s, s.held)
	s.closed, s.revoked = true, false
	delete(s.budget.shares, s)
}

// release takes n bytes from a share and wakes those that wait. The caller holds b.mu.
func (b *Budget) release(s *Share, n int64) {
	s.held -= n
	b.held -= n
	if b.returned != nil && n > 0 {
		close(b.returned)
		b.returned = nil
	}
}

type contextKey struct{}

// WithShare returns a context from which FromContext returns the share.
func WithShare(ctx context.Context, s *Share) context.Context {
	if s == nil {
		return ctx
	}
	return context.WithValue(ctx, contextKey{}, s)
}

// FromContext returns the share of the request that the context belongs to, or nil if
// there is none.
func FromContext(ctx context.Context) *Share {
	s, _ := ctx.Value(contextKey{}).(*Share)
	return s
}
