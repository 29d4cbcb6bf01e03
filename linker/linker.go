// Package linker connects an instance to its peers, the other instances of the
// instance list. It sends CBOR messages over WebSocket connections, using nbio.
//
// Each instance dials every other one and sends its messages and calls on the
// connection that it dialed. Responses to calls come back on the same connection.
// A connection on which the peer is silent for too long is closed and redialed
// after a delay with jitter. A slow peer uses bounded memory, because a connection
// with too many queued bytes is closed. A connection is accepted only from an
// instance of the instance list and only from the address listed for it
// (Handler.IsAllowed), so any other client costs no more than a handshake.
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
	"lagoonstile/answerer"
	"lagoonstile/dispatcher"
	"lagoonstile/encoder"
	"lagoonstile/gossiper"
	"lagoonstile/sizer"
	"lagoonstile/throttler"
)

// Limits, timing and URL path of connections to peers.
const (
	// MaxMessageBytes limits one message. The largest messages are snapshots.
	MaxMessageBytes = 16 << 20
	// maxQueuedBytes limits the bytes queued for one peer that reads slowly.
	maxQueuedBytes = 32 << 20
	dialTimeout    = time.Second
	pingInterval   = time.Second
	// pongTimeout is how long a peer may be silent before the connection is closed.
	pongTimeout    = 4 * time.Second
	minRedialDelay = 200 * time.Millisecond
	maxRedialDelay = 5 * time.Second
	peerPath       = "/lagoonstile/peer"
)

// Names of the headers of the handshake.
const (
	headerInstance    = "lagoonstile-instance"
	headerIncarnation = "lagoonstile-incarnation"
)

// Message is a message between two instances. Exactly one field is set. An instance
// with an older version ignores fields that it does not know.
type Message struct {
	Digest   *gossiper.Digest      `cbor:"1,keyasint,omitempty"`
	Snapshot *lagoonstile.Snapshot `cbor:"2,keyasint,omitempty"`
	Call     *Call                 `cbor:"3,keyasint,omitempty"`
	Response *Response             `cbor:"4,keyasint,omitempty"`
	Quotas   *throttler.Message    `cbor:"5,keyasint,omitempty"`
}

// Call is a request to a peer. Exactly one of Order, Page and ReserveBytes is set.
type Call struct {
	ID    uint64            `cbor:"1,keyasint"`
	Order *dispatcher.Order `cbor:"2,keyasint,omitempty"`
	Page  *dispatcher.Page  `cbor:"3,keyasint,omitempty"`
	// ReserveBytes asks for room for an order with a body of this size.
	ReserveBytes int64 `cbor:"4,keyasint,omitempty"`
	// Reservation is the ID of the call that has reserved room for Order, or 0.
	Reservation uint64 `cbor:"5,keyasint,omitempty"`
}

// Response is the response to the call with the same ID.
type Response struct {
	ID    uint64            `cbor:"1,keyasint"`
	Reply *dispatcher.Reply `cbor:"2,keyasint,omitempty"`
	// RefusalReason is the reason why a page, a reservation or an unknown call was
	// rejected, or empty.
	RefusalReason string `cbor:"3,keyasint,omitempty"`
}

// Handler handles the messages and calls of peers. Its methods may be called
// concurrently.
type Handler interface {
	// IsAllowed reports whether the instance may connect from the address.
	IsAllowed(id lagoonstile.InstanceID, from netip.Addr) bool
	// HandleDigest handles a digest that a peer sent about itself.
	HandleDigest(digest gossiper.Digest)
	// HandleSnapshot handles a configuration that a peer sent.
	HandleSnapshot(snapshot *lagoonstile.Snapshot)
	// HandleQuotas handles a peer's message about quotas.
	HandleQuotas(from lagoonstile.InstanceID, message throttler.Message)
	// ReserveOrder takes the memory for an order with a body of the given size. It
	// returns the function that returns it, and false if there is not enough.
	ReserveOrder(bodyBytes int64) (release func(), ok bool)
	// HandleOrder runs an order and returns the reply. It runs on its own goroutine
	// and may block until the order ends.
	HandleOrder(order *dispatcher.Order) dispatcher.Reply
	// HandlePage takes over one page of a key table. It returns an error if the page
	// is rejected.
	HandlePage(page *dispatcher.Page) error
}

// Linker holds the connections of one instance to its peers, and those of its peers
// to it. It is safe for concurrent use.
type Linker struct {
	self        lagoonstile.InstanceID
	incarnation lagoonstile.Incarnation
	handler     Handler
	log         *slog.Logger
	server      *nbhttp.Engine
	client      *nbhttp.Engine

	// opened counts connections. It only orders the memory accesses of the goroutine that
	// opens one before those of the reading one.
	opened atomic.Uint64
	// sentBytes counts the bytes of messages to peers.
	sentBytes atomic.Int64

	mu     sync.Mutex
	links  map[lagoonstile.InstanceID]*link
	closed bool
	// inbound holds the connections that peers dialed.
	inbound map[*websocket.Conn]struct{}

	// handshakes holds the accepted connections before their upgrade, and dials those that
	// are dialed.
	handshakes   handshakes
	dials        handshakes
	reservations reservations
}

// Listen starts to accept connections of peers on an IP:port. No peer is dialed
// before SetPeers is called.
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
	serverConfig := engineConfig([]string{address}, http.HandlerFunc(l.accept))
	serverConfig.KeepaliveTime = handshakeTimeout // Until the upgrade.
	l.server = nbhttp.NewEngine(serverConfig)
	l.server.OnOpen(func(conn net.Conn) {
		l.opened.Add(1)
		if excess := l.handshakes.open(conn); excess != nil {
			_ = excess.Close()
		}
	})
	l.server.OnClose(func(conn net.Conn, _ error) { l.handshakes.finish(conn) })
	l.server.Engine.OnData(func(conn *nbio.Conn, data []byte) {
		l.opened.Load()
		if !l.handshakes.receive(conn, data) {
			_ = conn.Close()
			return
		}
		conn.DataHandler()(conn, data)
	})
	if err := l.server.Start(); err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	l.client = nbhttp.NewEngine(engineConfig(nil, nil))
	l.client.Engine.OnOpen(func(*nbio.Conn) { l.opened.Add(1) })
	l.client.Engine.OnData(func(conn *nbio.Conn, data []byte) {
		l.opened.Load()
		if !l.dials.receive(conn, data) {
			_ = conn.Close()
			return
		}
		conn.DataHandler()(conn, data)
	})
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
		Listen:                  listen,
		Handler:                 handler,
		ReadLimit:               MaxMessageBytes,
		MaxWriteBufferSize:      maxQueuedBytes,
		ReleaseWebsocketPayload: true,
		// The default goroutine pools would use 0.5 MB each, and peers need only a
		// few goroutines.
		ServerExecutor: func(f func()) { go f() },
		ClientExecutor: func(f func()) { go f() },
	}
}

// receiveBuffer is the size of the receive buffer of an accepted connection.
const receiveBuffer sizer.Size = 64 << 10

// listen opens the listening socket.
func listen(network, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: receiveBuffer.Control}
	l, err := config.Listen(context.Background(), network, address)
	if err != nil {
		return nil, err
	}
	sizer.SetBacklog(l, maxHandshakes)
	return l, nil
}

// Address returns the IP:port that the linker listens on.
func (l *Linker) Address() string { return l.server.Addrs[0] }

// SetPeers sets the peers to be connected to. It dials new peers, redials peers
// whose address has changed and closes the connections to instances that are no
// longer listed. The entry of this instance itself is ignored.
func (l *Linker) SetPeers(peers []lagoonstile.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	addresses := make(map[lagoonstile.InstanceID]string)
	for _, peer := range peers {
		if peer.ID != l.self {
			addresses[peer.ID] = peer.PeerAddress
		}
	}
	for id, link := range l.links {
		if addresses[id] != link.address {
			link.stop()
			delete(l.links, id)
		}
	}
	for id, address := range addresses {
		if l.links[id] == nil {
			l.links[id] = startLink(l, id, address)
		}
	}
}

// ConnectionNumbers returns the peers that this instance is connected to, each with
// the number of its connection. A changed number means that the peer was redialed
// and that messages sent on the previous connection may be lost.
func (l *Linker) ConnectionNumbers() map[lagoonstile.InstanceID]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	numbers := make(map[lagoonstile.InstanceID]int)
	for id, link := range l.links {
		if number := link.connectionNumber(); number > 0 {
			numbers[id] = number
		}
	}
	return numbers
}

// SentBytes returns the number of bytes of all messages sent to peers so far.
func (l *Linker) SentBytes() int64 { return l.sentBytes.Load() }

// Send sends a message to a peer. It returns false if there is no connection to the
// peer or the write fails. True does not mean that the peer received the message.
func (l *Linker) Send(to lagoonstile.InstanceID, message Message) bool {
	link := l.link(to)
	return link != nil && link.send(message) == nil
}

// ErrNotConnected is returned if there is no connection to a peer. Nothing was sent.
var ErrNotConnected = errors.New("not connected")

// Call sends a call to a peer and waits for its response. After an error other than
// ErrNotConnected it is not known whether the peer received the call.
func (l *Linker) Call(ctx context.Context, to lagoonstile.InstanceID, call Call) (*Response, error) {
	link := l.link(to)
	if link == nil {
		return nil, fmt.Errorf("instance %s: %w", to, ErrNotConnected)
	}
	return link.call(ctx, call)
}

// ErrNoRoom is returned if a peer has no memory for an order. The order was not sent.
var ErrNoRoom = errors.New("peer has no memory for the order")

// CallOrder sends an order to a peer and waits for its reply. It asks the peer for room
// first if the body is large. After an error other than ErrNotConnected and ErrNoRoom it
// is not known whether the peer received the order.
func (l *Linker) CallOrder(ctx context.Context, to lagoonstile.InstanceID, order *dispatcher.Order) (*Response, error) {
	call := Call{Order: order}
	if size := int64(len(order.Body)); size > maxUnaskedBytes {
		response, err := l.Call(ctx, to, Call{ReserveBytes: size})
		if err != nil {
			return nil, err
		}
		// An instance with an older version gives another reason, and takes all orders.
		if response.RefusalReason == reasonNoRoom {
			return nil, fmt.Errorf("instance %s: %w: %d bytes", to, ErrNoRoom, size)
		}
		call.Reservation = response.ID
	}
	return l.Call(ctx, to, call)
}

// Close closes all connections and stops listening.
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

// accept upgrades the connection of an allowed instance to WebSocket and rejects
// any other request.
func (l *Linker) accept(w http.ResponseWriter, req *http.Request) {
	id := lagoonstile.InstanceID(req.Header.Get(headerInstance))
	from, err := netip.ParseAddrPort(req.RemoteAddr)
	if err != nil || req.URL.Path != peerPath || !l.handler.IsAllowed(id, from.Addr()) {
		l.log.Warn("peer-refused", "peer", id, "from", req.RemoteAddr)
		http.Error(w, "unknown instance", http.StatusForbidden)
		return
	}
	upgrader := newUpgrader(func(conn *websocket.Conn, message *Message) { l.receive(conn, id, message) })
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

	l.handshakes.finish(conn.Conn)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = conn.Close()
		return
	}
	l.inbound[conn] = struct{}{}
}

// receive handles a message on a connection that a peer dialed.
func (l *Linker) receive(conn *websocket.Conn, from lagoonstile.InstanceID, message *Message) {
	switch {
	case message.Digest != nil:
		// An instance may send only digests of its own state.
		if message.Digest.Origin == from {
			l.handler.HandleDigest(*message.Digest)
		}
	case message.Snapshot != nil:
		l.handler.HandleSnapshot(message.Snapshot)
	case message.Quotas != nil:
		l.handler.HandleQuotas(from, *message.Quotas)
	case message.Call != nil:
		go l.serveCall(conn, from, message.Call)
	}
}

// serveCall handles a call of a peer and sends the response.
func (l *Linker) serveCall(conn *websocket.Conn, from lagoonstile.InstanceID, call *Call) {
	response := &Response{ID: call.ID}
	switch {
	case call.Order != nil:
		reply := l.serveOrder(from, call)
		response.Reply = &reply
	case call.ReserveBytes > 0:
		release, ok := l.handler.ReserveOrder(call.ReserveBytes)
		if !ok {
			response.RefusalReason = reasonNoRoom
			break
		}
		l.reservations.add(reservationID{from, call.ID}, release)
	case call.Page != nil:
		if err := l.handler.HandlePage(call.Page); err != nil {
			response.RefusalReason = err.Error()
		}
	default:
		response.RefusalReason = "unknown call"
	}
	if err := l.write(conn, Message{Response: response}); err != nil {
		l.log.Warn("return-not-sent", "cause", err)
	}
}

// reasonNoRoom is the reason why a reservation is refused.
const reasonNoRoom = "no memory for an order of this size"

// serveOrder handles an order of a peer, with the memory that was reserved for it. A peer
// with an older version reserves none.
func (l *Linker) serveOrder(from lagoonstile.InstanceID, call *Call) dispatcher.Reply {
	release := l.reservations.take(reservationID{from, call.Reservation})
	if release == nil {
		var ok bool
		if release, ok = l.handler.ReserveOrder(int64(len(call.Order.Body))); !ok {
			return dispatcher.Reply{Kind: answerer.KindOverloaded, MayHaveRun: true}
		}
	}
	defer release()
	return l.handler.HandleOrder(call.Order)
}

// newUpgrader returns the WebSocket settings of one connection, dialed or accepted.
// Each message is passed to receive. The connection is closed if a message cannot
// be decoded.
func newUpgrader(receive func(*websocket.Conn, *Message)) *websocket.Upgrader {
	upgrader := websocket.NewUpgrader()
	upgrader.KeepaliveTime = pongTimeout * 2
	upgrader.MessageLengthLimit = MaxMessageBytes
	upgrader.OnMessage(func(conn *websocket.Conn, _ websocket.MessageType, data []byte) {
		var message Message
		if err := encoder.Decode(data, &message); err != nil {
			_ = conn.Close()
			return
		}
		receive(conn, &message)
	})
	return upgrader
}

// write encodes and sends one message.
func (l *Linker) write(conn *websocket.Conn, message Message) error {
	data, err := encoder.Encode(message)
	if err != nil {
		return err
	}
	if len(data) > MaxMessageBytes {
		return fmt.Errorf("message of %d bytes exceeds the limit of %d bytes", len(data), MaxMessageBytes)
	}
	l.sentBytes.Add(int64(len(data)))
	if err := conn.WriteMessage(websocket.BinaryMessage, data); err != nil {
		return fmt.Errorf("write to %s: %w", remoteAddr(conn), err)
	}
	return nil
}

// remoteAddr returns the address of the peer, or nil if conn has no underlying
// connection.
func remoteAddr(conn *websocket.Conn) net.Addr {
	if conn.Conn == nil {
		return nil
	}
	return conn.RemoteAddr()
}
