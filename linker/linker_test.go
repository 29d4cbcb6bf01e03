package linker_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"lagoonstile"
	"lagoonstile/dispatcher"
	"lagoonstile/gossiper"
	"lagoonstile/linker"
)

// peer is an instance that knows the ids it is told and records what it hears.
type peer struct {
	linker *linker.Linker
	known  map[lagoonstile.InstanceID]bool

	mu      sync.Mutex
	digests []gossiper.Digest
	// refused counts the instances that were asked about and not known.
	refused map[lagoonstile.InstanceID]int
}

var _ linker.Handler = (*peer)(nil)

func (p *peer) Known(id lagoonstile.InstanceID, _ netip.Addr) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.known[id] {
		p.refused[id]++
	}
	return p.known[id]
}

func (p *peer) refusals(id lagoonstile.InstanceID) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refused[id]
}

func (p *peer) Digest(digest gossiper.Digest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.digests = append(p.digests, digest)
}

func (p *peer) heard() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.digests)
}

func (p *peer) Snapshot(*lagoonstile.Snapshot) {}

func (p *peer) Order(order *dispatcher.Order) dispatcher.Reply {
	if order.ID == "slow" {
		time.Sleep(time.Minute)
	}
	return dispatcher.Reply{Answer: &dispatcher.StoredAnswer{Status: 200, Body: []byte("answer to " + order.Key)}}
}

func (p *peer) Page(page *dispatcher.Page) error {
	if page.Number > 0 {
		return errors.New("out of turn")
	}
	return nil
}

func start(t *testing.T, address string, self lagoonstile.InstanceID, known ...lagoonstile.InstanceID) *peer {
	t.Helper()
	p := &peer{known: map[lagoonstile.InstanceID]bool{}, refused: map[lagoonstile.InstanceID]int{}}
	for _, id := range known {
		p.known[id] = true
	}
	l, err := linker.Listen(address, self, "i", p, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	p.linker = l
	return p
}

func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 3000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("after 30 s still not: %s", what)
}

func to(p *peer, id lagoonstile.InstanceID) []lagoonstile.Instance {
	return []lagoonstile.Instance{{ID: id, PeerAddress: p.linker.Address()}}
}

// TestLink carries digests, calls and their returns, and comes back after the
// peer was replaced.
func TestLink(t *testing.T) {
	a, b := start(t, "127.0.0.1:0", "a", "b"), start(t, "127.0.0.1:0", "b", "a")
	defer a.linker.Close()
	a.linker.SetPeers(to(b, "b"))
	await(t, "a linked to b", func() bool { return a.linker.Connected()["b"] > 0 })
	a.linker.Send("b", linker.Message{Digest: &gossiper.Digest{Origin: "a", Version: 7}})
	await(t, "the digest", func() bool { return b.heard() == 1 })
	a.linker.Send("b", linker.Message{Digest: &gossiper.Digest{Origin: "c", Version: 9}})
	ret, err := a.linker.Call(context.Background(), "b", linker.Call{Order: &dispatcher.Order{Key: "k"}})
	if err != nil || string(ret.Reply.Answer.Body) != "answer to k" {
		t.Errorf("order: %+v, %v", ret, err)
	}
	if b.heard() != 1 {
		t.Error("an instance spoke for another one")
	}
	ret, err = a.linker.Call(context.Background(), "b", linker.Call{Page: &dispatcher.Page{Number: 1}})
	if err != nil || ret.Refused == "" {
		t.Errorf("a page out of turn: %+v, %v", ret, err)
	}
	if _, err := a.linker.Call(context.Background(), "c", linker.Call{}); !errors.Is(err, linker.ErrNoLink) {
		t.Errorf("a call to nobody: %v", err)
	}
	first := a.linker.Connected()["b"]
	lost := make(chan error)
	go func() {
		_, err := a.linker.Call(context.Background(), "b", linker.Call{Order: &dispatcher.Order{ID: "slow"}})
		lost <- err
	}()
	time.Sleep(50 * time.Millisecond)
	address := b.linker.Address()
	b.linker.Close()
	if err := <-lost; err == nil || errors.Is(err, linker.ErrNoLink) {
		t.Errorf("a call whose peer went away: %v", err)
	}
	again := start(t, address, "b", "a")
	defer again.linker.Close()
	await(t, "a linked again", func() bool { return a.linker.Connected()["b"] > first })
}

// TestStrangersStayOut refuses instances that are not listed, and takes nothing
// that is not a message.
func TestStrangersStayOut(t *testing.T) {
	a, b := start(t, "127.0.0.1:0", "a"), start(t, "127.0.0.1:0", "b")
	defer a.linker.Close()
	defer b.linker.Close()
	a.linker.SetPeers(to(b, "b"))
	res, err := http.Get("http://" + b.linker.Address() + "/lagoonstile/peer")
	if err != nil {
		t.Fatal(err)
	}
	_ = res.Body.Close()
	if res.StatusCode != http.StatusForbidden {
		t.Errorf("a stranger got status %d, want 403", res.StatusCode)
	}
	res, err = http.Post("http://"+b.linker.Address()+"/", "text/plain", strings.NewReader(strings.Repeat("x", 100)))
	if err == nil {
		_ = res.Body.Close()
	}
	// With the second try the first one has had its answer.
	await(t, "a has tried twice", func() bool { return b.refusals("a") >= 2 })
	if n := a.linker.Connected()["b"]; n > 0 {
		t.Error("an instance that is not listed is linked")
	}
	if b.heard() > 0 {
		t.Error("a stranger was heard")
	}
}
