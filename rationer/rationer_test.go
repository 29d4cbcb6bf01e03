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
