package rationer

import (
	"context"
	"testing"
	"time"
)

// revocable returns a share that holds n bytes, in a phase that began some time ago
// and has had no progress since, and a channel that tells that it was revoked.
func revocable(t *testing.T, b *Budget, n int64, phase Phase, behind time.Duration) (*Share, <-chan Phase) {
	t.Helper()
	revoked := make(chan Phase, 1)
	s := b.NewShare(Request, func(p Phase) { revoked <- p })
	if !s.Take(context.Background(), n) {
		t.Fatalf("a take of %d bytes was refused", n)
	}
	s.Begin(phase)
	b.mu.Lock()
	s.since, s.last = time.Now().Add(-behind), time.Now().Add(-behind)
	b.mu.Unlock()
	return s, revoked
}

// TestWorstShareIsRevoked checks which share is revoked: the one that holds most for
// longest, among those that may be revoked at all.
func TestWorstShareIsRevoked(t *testing.T) {
	const mib = 1 << 20
	b := New(64 * mib)
	worst, worstRevoked := revocable(t, b, 16*mib, Reading, 3*time.Second)
	others := map[string]<-chan Phase{}
	_, others["smaller"] = revocable(t, b, 4*mib, Reading, 3*time.Second)
	_, others["later"] = revocable(t, b, 16*mib, Reading, 2*time.Second)
	_, others["working"] = revocable(t, b, 16*mib, Working, time.Hour)
	_, others["writing for a short time"] = revocable(t, b, 4*mib, Writing, 2*time.Second)
	go func() {
		if phase := <-worstRevoked; phase != Reading {
			t.Errorf("revoked in phase %s, want %s", phase, Reading)
		}
		worst.Close()
	}()
	s := b.NewShare(Request, nil)
	if !s.Take(context.Background(), 8*mib) {
		t.Error("a take was refused although a share could be revoked")
	}
	for name, revoked := range others {
		select {
		case <-revoked:
			t.Errorf("the share %s was revoked", name)
		default:
		}
	}
	if usage := b.Usage(); usage.HeldBytes != 48*mib || usage.Revoked != 1 || usage.Refused != 0 {
		t.Errorf("usage %+v, want 48 MiB held, 1 revoked, none refused", usage)
	}
}

// TestNothingIsRevokedInVain checks that no share is revoked if all together do not
// hold as much as is asked for.
func TestNothingIsRevokedInVain(t *testing.T) {
	b := New(1 << 20)
	_, working := revocable(t, b, 700<<10, Working, time.Hour)
	_, idle := revocable(t, b, 100<<10, Idle, time.Hour)
	s := b.NewShare(Request, nil)
	if s.Take(context.Background(), 800<<10) {
		t.Error("a take over the limit was granted")
	}
	select {
	case <-working:
		t.Error("the working share was revoked")
	case <-idle:
		t.Error("the idle share was revoked")
	default:
	}
}

// TestEndedConnectionsAreRevokedFirst guards against the memory of clients that may go on
// being taken while others hold some that do not close their ended connections.
func TestEndedConnectionsAreRevokedFirst(t *testing.T) {
	b := New(1 << 20)
	_, idle := revocable(t, b, 300<<10, Idle, time.Hour)
	_, ending := revocable(t, b, 300<<10, Ending, 2*MinBehind)
	_, young := revocable(t, b, 100<<10, Ending, MinBehind/2)
	go b.NewShare(Request, nil).Take(context.Background(), 300<<10)
	select {
	case <-ending:
	case <-idle:
		t.Fatal("the idle share was revoked first")
	case <-time.After(10 * time.Second):
		t.Fatal("no share was revoked")
	}
	select {
	case <-idle:
		t.Error("the idle share was revoked, too, although the other one was enough")
	case <-young:
		t.Error("the share of a connection that has just ended was revoked")
	case <-time.After(10 * scanInterval):
	}
}

// TestSmallTakesKeepTheirPart checks that large takes leave a part of the budget to
// small ones, and that what was taken is there again after Close.
func TestSmallTakesKeepTheirPart(t *testing.T) {
	b := New(1 << 20)
	large, small := b.NewShare(Request, nil), b.NewShare(Request, nil)
	for large.TryTake(largeBytes) {
	}
	if !small.TryTake(largeBytes - 1) {
		t.Error("a small take was refused beside large ones")
	}
	large.Close()
	large.Close()
	small.Close()
	if usage := b.Usage(); usage.HeldBytes != 0 {
		t.Errorf("%d bytes are held after all shares were closed", usage.HeldBytes)
	}
}

// TestProgressKeepsShares checks that a share with steady progress is not revoked, and
// that one that was fast and has stopped is.
func TestProgressKeepsShares(t *testing.T) {
	tests := []struct {
		name          string
		age, sinceOne time.Duration
		done          int64
		want          bool
	}{
		{"steady", 10 * time.Second, 10 * time.Millisecond, 12 * minRate, false},
		{"slow", 10 * time.Second, 10 * time.Millisecond, minRate, true},
		{"stopped", 10 * time.Second, 2 * time.Second, 1 << 30, true},
		{"new", 500 * time.Millisecond, 500 * time.Millisecond, 0, false},
	}
	for _, test := range tests {
		now := time.Now()
		s := &Share{held: 1, phase: Reading, since: now.Add(-test.age), last: now.Add(-test.sinceOne), done: test.done}
		if got := s.score(now) > 0; got != test.want {
			t.Errorf("%s: may be revoked: %t, want %t", test.name, got, test.want)
		}
	}
}

// TestClosedShareTakesNothing guards against bytes that nothing would return: an attempt
// may go on reading after its request has ended.
func TestClosedShareTakesNothing(t *testing.T) {
	b := New(1 << 20)
	share := b.NewShare(Request, func(Phase) {})
	if !share.TryTake(100) {
		t.Fatal("the first take was refused")
	}
	share.Close()
	if share.TryTake(100) || share.Take(t.Context(), 100) {
		t.Error("a closed share was granted bytes")
	}
	if held := b.Usage().HeldBytes; held != 0 {
		t.Errorf("%d bytes are held, want 0", held)
	}
}

// TestBaseCountsWithItsShare checks that a share whose owner holds little itself is revoked
// if its base holds enough, and not without it.
func TestBaseCountsWithItsShare(t *testing.T) {
	for _, withBase := range []bool{false, true} {
		b := New(1 << 20)
		base, _ := revocable(t, b, 600<<10, Working, time.Hour)
		reading, revoked := revocable(t, b, 100<<10, Reading, 3*time.Second)
		if withBase {
			reading.SetBase(base)
		}
		go func() {
			<-revoked
			reading.Close()
			base.Close()
		}()
		if granted := b.NewShare(Request, nil).Take(t.Context(), 500<<10); granted != withBase {
			t.Errorf("base %t: a take was granted: %t", withBase, granted)
		}
	}
}

// TestSpareTakesLeaveHalf checks that what an owner can do without is granted while half
// of the budget stays free, and not beyond.
func TestSpareTakesLeaveHalf(t *testing.T) {
	b := New(1 << 20)
	s := b.NewShare(Connection, nil)
	if !s.TakeSpare(300 << 10) {
		t.Error("a spare take was refused although half of the budget stays free")
	}
	if s.TakeSpare(200 << 10) {
		t.Error("a spare take was granted that leaves less than half")
	}
	if !s.TryTake(200 << 10) {
		t.Error("an ordinary take was refused")
	}
}

// TestFewTakesWait checks that takes beyond maxWaiting are refused at once, and that those
// that wait are granted when bytes are returned.
func TestFewTakesWait(t *testing.T) {
	b := New(largeBytes)
	full := b.NewShare(Request, nil)
	if !full.TryTake(largeBytes - 1) {
		t.Fatal("the first take was refused")
	}
	granted := make(chan bool, maxWaiting)
	for range maxWaiting {
		go func() { granted <- b.NewShare(Request, nil).Take(context.Background(), 2) }()
	}
	for waiting := 0; waiting < maxWaiting; {
		b.mu.Lock()
		waiting = b.waiting
		b.mu.Unlock()
	}
	if b.NewShare(Request, nil).Take(t.Context(), 2) {
		t.Error("a take was granted that is not free")
	}
	if usage := b.Usage(); usage.Refused != 1 {
		t.Errorf("%d takes were refused, want the last one", usage.Refused)
	}
	full.Close()
	for range maxWaiting {
		if !<-granted {
			t.Error("a take that waited was refused although bytes were returned")
		}
	}
}

// TestTakesThatNeverFitAreRefusedAtOnce checks that a take over the part for large ones
// does not make others give up.
func TestTakesThatNeverFitAreRefusedAtOnce(t *testing.T) {
	b := New(1 << 20)
	_, revoked := revocable(t, b, 800<<10, Reading, time.Hour)
	if b.NewShare(Request, nil).Take(t.Context(), b.LargestTake()+1) {
		t.Error("a take over the limit was granted")
	}
	select {
	case <-revoked:
		t.Error("a share was revoked in vain")
	default:
	}
}
