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
	"lagoonstile/throttler"
)

// peer is an instance that accepts connections of the allowed instances and records
// the digests that it receives.
type peer struct {
	linker  *linker.Linker
	allowed map[lagoonstile.InstanceID]bool

	mu      sync.Mutex
	digests []gossiper.Digest
	// reserved counts the reservations that were not released.
	reserved int
	// rejected counts the rejected connections of each instance.
	rejected map[lagoonstile.InstanceID]int
}

var _ linker.Handler = (*peer)(nil)

func (p *peer) IsAllowed(id lagoonstile.InstanceID, _ netip.Addr) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.allowed[id] {
		p.rejected[id]++
	}
	return p.allowed[id]
}

func (p *peer) rejections(id lagoonstile.InstanceID) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rejected[id]
}

func (p *peer) HandleDigest(digest gossiper.Digest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.digests = append(p.digests, digest)
}

func (p *peer) digestCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.digests)
}

func (p *peer) HandleSnapshot(*lagoonstile.Snapshot) {}

func (p *peer) HandleQuotas(lagoonstile.InstanceID, throttler.Message) {}

// ReserveOrder has room for orders of up to 1 MiB.
func (p *peer) ReserveOrder(bodyBytes int64) (func(), bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if bodyBytes > 1<<20 {
		return nil, false
	}
	p.reserved++
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.reserved--
	}, true
}

func (p *peer) HandleOrder(order *dispatcher.Order) dispatcher.Reply {
	if order.ID == "slow" {
		time.Sleep(time.Minute)
	}
	return dispatcher.Reply{Answer: &dispatcher.StoredAnswer{Status: 200, Body: []byte("answer to " + order.Key)}}
}

func (p *peer) HandlePage(page *dispatcher.Page) error {
	if page.Number > 0 {
		return errors.New("unexpected page number")
	}
	return nil
}

func start(t *testing.T, address string, self lagoonstile.InstanceID, allowed ...lagoonstile.InstanceID) *peer {
	t.Helper()
	p := &peer{allowed: map[lagoonstile.InstanceID]bool{}, rejected: map[lagoonstile.InstanceID]int{}}
	for _, id := range allowed {
		p.allowed[id] = true
	}
	l, err := linker.Listen(address, self, "i", p, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	p.linker = l
	return p
}

// await fails the test if the condition does not hold within 30 s.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 3000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("condition not met after 30 s: %s", what)
}

// instanceList returns an instance list that has only p, with the given ID.
func instanceList(p *peer, id lagoonstile.InstanceID) []lagoonstile.Instance {
	return []lagoonstile.Instance{{ID: id, PeerAddress: p.linker.Address()}}
}

// TestLink sends digests and calls to a peer. A digest about another instance must
// be ignored, a pending call must fail when the connection is lost, and the peer
// must be redialed after a restart.
func TestLink(t *testing.T) {
	a, b := start(t, "127.0.0.1:0", "a", "b"), start(t, "127.0.0.1:0", "b", "a")
	defer a.linker.Close()
	a.linker.SetPeers(instanceList(b, "b"))
	await(t, "a is connected to b", func() bool { return a.linker.ConnectionNumbers()["b"] > 0 })
	a.linker.Send("b", linker.Message{Digest: &gossiper.Digest{Origin: "a", Version: 7}})
	await(t, "b has received the digest", func() bool { return b.digestCount() == 1 })
	a.linker.Send("b", linker.Message{Digest: &gossiper.Digest{Origin: "c", Version: 9}})
	response, err := a.linker.Call(context.Background(), "b", linker.Call{Order: &dispatcher.Order{Key: "k"}})
	if err != nil || string(response.Reply.Answer.Body) != "answer to k" {
		t.Errorf("order: response %+v, error %v", response, err)
	}
	if b.digestCount() != 1 {
		t.Error("b accepted a digest of a about another instance")
	}
	response, err = a.linker.Call(context.Background(), "b", linker.Call{Page: &dispatcher.Page{Number: 1}})
	if err != nil || response.RefusalReason == "" {
		t.Errorf("page that the handler rejects: response %+v, error %v", response, err)
	}
	if _, err := a.linker.Call(context.Background(), "c", linker.Call{}); !errors.Is(err, linker.ErrNotConnected) {
		t.Errorf("call to an unknown instance: error %v, want ErrNotConnected", err)
	}
	first := a.linker.ConnectionNumbers()["b"]
	pending := make(chan error)
	go func() {
		_, err := a.linker.Call(context.Background(), "b", linker.Call{Order: &dispatcher.Order{ID: "slow"}})
		pending <- err
	}()
	time.Sleep(50 * time.Millisecond)
	address := b.linker.Address()
	b.linker.Close()
	if err := <-pending; err == nil || errors.Is(err, linker.ErrNotConnected) {
		t.Errorf("pending call when the connection is lost: error %v, want one other than ErrNotConnected", err)
	}
	restarted := start(t, address, "b", "a")
	defer restarted.linker.Close()
	await(t, "a is connected to the restarted b", func() bool { return a.linker.ConnectionNumbers()["b"] > first })
}

// TestUnknownInstanceIsRejected connects from an instance that is not allowed and
// sends two requests that are not handshakes. The instance and the request without
// an instance header must be rejected, and no digest may be received.
func TestUnknownInstanceIsRejected(t *testing.T) {
	a, b := start(t, "127.0.0.1:0", "a"), start(t, "127.0.0.1:0", "b")
	defer a.linker.Close()
	defer b.linker.Close()
	a.linker.SetPeers(instanceList(b, "b"))
	res, err := http.Get("http://" + b.linker.Address() + "/lagoonstile/peer")
	if err != nil {
		t.Fatal(err)
	}
	_ = res.Body.Close()
	if res.StatusCode != http.StatusForbidden {
		t.Errorf("request without an instance header: status %d, want 403", res.StatusCode)
	}
	res, err = http.Post("http://"+b.linker.Address()+"/", "text/plain", strings.NewReader(strings.Repeat("x", 100)))
	if err == nil {
		_ = res.Body.Close()
	}
	// a dials again only after the response to the first handshake.
	await(t, "a has dialed twice", func() bool { return b.rejections("a") >= 2 })
	if n := a.linker.ConnectionNumbers()["b"]; n > 0 {
		t.Error("an instance that is not allowed is connected")
	}
	if b.digestCount() > 0 {
		t.Error("a digest was received from an instance that is not allowed")
	}
}
