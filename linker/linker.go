// Package linker is the edge towards the other instances of a cell: WebSocket
// connections that carry CBOR messages, over nbio.
//
// Each instance dials every other one and uses the connection that it dialled
// for what it says and asks; answers come back on the same connection. A link
// is only as good as its last pong: one that is silent is closed and dialled
// again after a pause with jitter. A slow peer costs bounded memory, for a
// connection with too many bytes queued is closed; a wrong one costs a
// handshake, for only instances of the instance list are let in, from the
// address that is listed.
package linker

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/lesismal/nbio/nbhttp/websocket"

	"lagoonstile"
	"lagoonstile/dispatcher"
	"lagoonstile/encoder"
	"lagoonstile/gossiper"
)

// Bounds and timing of links.
const (
	// MaxMessageBytes bounds one message; a snapshot is the largest.
	MaxMessageBytes = 16 << 20
	// maxQueuedBytes bounds what waits in the process for one slow peer.
	maxQueuedBytes = 32 << 20
	dialTimeout    = time.Second
	pingInterval   = time.Second
	pongTimeout    = 4 * time.Second
	leastRedial    = 200 * time.Millisecond
	mostRedial     = 5 * time.Second
	peerPath       = "/lagoonstile/peer"
)

// Names of the handshake's headers.
const (
	headerInstance    = "lagoonstile-instance"
	headerIncarnation = "lagoonstile-incarnation"
)

// Message is what travels on a link. One field is set. Fields that an older
// instance does not know are skipped by it.
type Message struct {
	Digest   *gossiper.Digest      `cbor:"1,keyasint,omitempty"`
	Snapshot *lagoonstile.Snapshot `cbor:"2,keyasint,omitempty"`
	Call     *Call                 `cbor:"3,keyasint,omitempty"`
	Return   *Return               `cbor:"4,keyasint,omitempty"`
}

// Call asks a peer for something. One of Order and Page is set.
type Call struct {
	ID    uint64            `cbor:"1,keyasint"`
	Order *dispatcher.Order `cbor:"2,keyasint,omitempty"`
	Page  *dispatcher.Page  `cbor:"3,keyasint,omitempty"`
}

// Return answers a call.
type Return struct {
	ID    uint64            `cbor:"1,keyasint"`
	Reply *dispatcher.Reply `cbor:"2,keyasint,omitempty"`
	// Refused says why a page was not taken.
	Refused string `cbor:"3,keyasint,omitempty"`
}

// Handler takes in what peers say and ask.
type Handler interface {
	// Known reports whether the instance may connect from the address.
	Known(id lagoonstile.InstanceID, from netip.Addr) bool
	Digest(digest gossiper.Digest)
	Snapshot(snapshot *lagoonstile.Snapshot)
	// Order may take as long as the order does; it has a goroutine of its own.
	Order(order *dispatcher.Order) dispatcher.Reply
	Page(page *dispatcher.Page) error
}

// Linker holds the links of one instance.
type Linker struct {
	self        lagoonstile.InstanceID
	incarnation lagoonstile.Incarnation
	handler     Handler
	log         *slog.Logger
	server      *nbhttp.Engine
	client      *nbhttp.Engine

	// opened hands what the accepting goroutine wrote to the reading one, as in
	// package listener.
	opened atomic.Uint64
	// sent counts the bytes of messages to peers.
	sent atomic.Int64

	mu     sync.Mutex
	links  map[lagoonstile.InstanceID]*link
	closed bool
	// inbound holds the connections that peers dialled.
	inbound map[*websocket.Conn]struct{}
}

// Listen starts to take links on an IP:port. No peer is dialled before SetPeers.
func Listen(address string, self lagoonstile.InstanceID, incarnation lagoonstile.Incarnation, handler Handler, log *slog.Logger) (*Linker, error) {
	logging.SetLevel(logging.LevelNone)
	l := &Linker{
		self:        self,
		incarnation: incarnation,
		handler:     handler,
		log:         log,
		links:       make(map[lagoonstile.InstanceID]*link),
		inbound:     make(map[*websocket.Conn]struct{}),
	}
	l.server = nbhttp.NewEngine(engineConfig([]string{address}, http.HandlerFunc(l.accept)))
	l.server.OnOpen(func(net.Conn) { l.opened.Add(1) })
	l.server.Engine.OnData(func(conn *nbio.Conn, data []byte) {
		l.opened.Load()
		conn.DataHandler()(conn, data)
	})
	if err := l.server.Start(); err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	l.client = nbhttp.NewEngine(engineConfig(nil, nil))
	if err := l.client.Start(); err != nil {
		l.server.Stop()
		return nil, fmt.Errorf("start client engine: %w", err)
	}
	return l, nil
}

func engineConfig(addresses []string, handler http.Handler) nbhttp.Config {
	return nbhttp.Config{
		Network:                 "tcp",
		Addrs:                   addresses,
		Handler:                 handler,
		ReadLimit:               MaxMessageBytes,
		MaxWriteBufferSize:      maxQueuedBytes,
		ReleaseWebsocketPayload: true,
		// A pool for the few goroutines of peers would cost 0.5 MB each.
		ServerExecutor: func(f func()) { go f() },
		ClientExecutor: func(f func()) { go f() },
	}
}

// Address returns the IP:port that the linker listens on.
func (l *Linker) Address() string { return l.server.Addrs[0] }

// SetPeers dials the instances that are new and drops the links to those that
// are gone or have moved.
func (l *Linker) SetPeers(peers []lagoonstile.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	wanted := make(map[lagoonstile.InstanceID]string)
	for _, peer := range peers {
		if peer.ID != l.self {
			wanted[peer.ID] = peer.PeerAddress
		}
	}
	for id, link := range l.links {
		if wanted[id] != link.address {
			link.stop()
			delete(l.links, id)
		}
	}
	for id, address := range wanted {
		if l.links[id] == nil {
			l.links[id] = startLink(l, id, address)
		}
	}
}

// Connected returns the peers with a link that works, each with the number of
// its connection: another number means that what was sent before may be lost.
func (l *Linker) Connected() map[lagoonstile.InstanceID]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[lagoonstile.InstanceID]int)
	for id, link := range l.links {
		if connection := link.connection(); connection > 0 {
			out[id] = connection
		}
	}
	return out
}

// SentBytes returns the bytes of all messages to peers so far.
func (l *Linker) SentBytes() int64 { return l.sent.Load() }

// Send says something to a peer. It reports false when there is no link.
func (l *Linker) Send(to lagoonstile.InstanceID, message Message) bool {
	link := l.link(to)
	return link != nil && link.send(message) == nil
}

// ErrNoLink says that there is no link to a peer: nothing was sent.
var ErrNoLink = errors.New("no link")

// Call asks a peer and waits for its return. An error other than ErrNoLink
// does not tell whether the peer got the call.
func (l *Linker) Call(ctx context.Context, to lagoonstile.InstanceID, call Call) (*Return, error) {
	link := l.link(to)
	if link == nil {
		return nil, fmt.Errorf("instance %s: %w", to, ErrNoLink)
	}
	return link.call(ctx, call)
}

// Close ends all links.
func (l *Linker) Close() {
	l.mu.Lock()
	l.closed = true
	links := l.links
	l.links = make(map[lagoonstile.InstanceID]*link)
	inbound := l.inbound
	l.inbound = make(map[*websocket.Conn]struct{})
	l.mu.Unlock()
	for _, link := range links {
		link.stop()
	}
	for conn := range inbound {
		_ = conn.Close()
	}
	l.client.Stop()
	l.server.Stop()
}

func (l *Linker) link(to lagoonstile.InstanceID) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.links[to]
}

// accept lets a known peer in.
func (l *Linker) accept(w http.ResponseWriter, req *http.Request) {
	id := lagoonstile.InstanceID(req.Header.Get(headerInstance))
	from, err := netip.ParseAddrPort(req.RemoteAddr)
	if err != nil || req.URL.Path != peerPath || !l.handler.Known(id, from.Addr()) {
		l.log.Warn("peer-refused", "peer", id, "from", req.RemoteAddr)
		http.Error(w, "unknown instance", http.StatusForbidden)
		return
	}
	upgrader := newUpgrader(func(conn *websocket.Conn, message *Message) { l.hear(conn, id, message) })
	upgrader.OnClose(func(conn *websocket.Conn, _ error) {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.inbound, conn)
	})
	conn, err := upgrader.Upgrade(w, req, nil)
	if err != nil {
		l.log.Warn("peer-not-upgraded", "peer", id, "cause", err)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = conn.Close()
		return
	}
	l.inbound[conn] = struct{}{}
}

// hear takes in a message on a connection that a peer dialled.
func (l *Linker) hear(conn *websocket.Conn, from lagoonstile.InstanceID, message *Message) {
	switch {
	case message.Digest != nil:
		// An instance speaks for itself only.
		if message.Digest.Origin == from {
			l.handler.Digest(*message.Digest)
		}
	case message.Snapshot != nil:
		l.handler.Snapshot(message.Snapshot)
	case message.Call != nil:
		go l.serve(conn, message.Call)
	}
}

// serve answers a call.
func (l *Linker) serve(conn *websocket.Conn, call *Call) {
	ret := &Return{ID: call.ID}
	switch {
	case call.Order != nil:
		reply := l.handler.Order(call.Order)
		ret.Reply = &reply
	case call.Page != nil:
		if err := l.handler.Page(call.Page); err != nil {
			ret.Refused = err.Error()
		}
	default:
		ret.Refused = "unknown call"
	}
	if err := l.write(conn, Message{Return: ret}); err != nil {
		l.log.Warn("return-not-sent", "cause", err)
	}
}

// newUpgrader returns the settings of one connection, on either side.
func newUpgrader(hear func(*websocket.Conn, *Message)) *websocket.Upgrader {
	upgrader := websocket.NewUpgrader()
	upgrader.KeepaliveTime = pongTimeout * 2
	upgrader.MessageLengthLimit = MaxMessageBytes
	upgrader.OnMessage(func(conn *websocket.Conn, _ websocket.MessageType, data []byte) {
		var message Message
		if err := encoder.Decode(data, &message); err != nil {
			_ = conn.Close()
			return
		}
		hear(conn, &message)
	})
	return upgrader
}

// write sends one message.
func (l *Linker) write(conn *websocket.Conn, message Message) error {
	data, err := encoder.Encode(message)
	if err != nil {
		return err
	}
	if len(data) > MaxMessageBytes {
		return fmt.Errorf("message of %d bytes is over %d", len(data), MaxMessageBytes)
	}
	l.sent.Add(int64(len(data)))
	if err := conn.WriteMessage(websocket.BinaryMessage, data); err != nil {
		return fmt.Errorf("write to %s: %w", remoteOf(conn), err)
	}
	return nil
}

func remoteOf(conn *websocket.Conn) net.Addr {
	if conn.Conn == nil {
		return nil
	}
	return conn.RemoteAddr()
}
