package linker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/lesismal/nbio/nbhttp/websocket"

	"lagoonstile"
)

// link maintains the connection that this instance dials to one peer. It redials
// until it is stopped.
type link struct {
	linker  *Linker
	peer    lagoonstile.InstanceID
	address string
	cancel  context.CancelFunc

	mu sync.Mutex
	// conn is nil while there is no connection.
	conn *websocket.Conn
	// lastHeard is when the last pong or response was received.
	lastHeard time.Time
	// lastCallID is the ID of the latest call.
	lastCallID uint64
	// dialCount counts the connections made so far.
	dialCount int
	// pendingCalls maps the ID of each call without a response to a channel with
	// room for one.
	pendingCalls map[uint64]chan *Response
	// dropped is closed when conn is dropped.
	dropped chan struct{}
}

func startLink(linker *Linker, peer lagoonstile.InstanceID, address string) *link {
	ctx, cancel := context.WithCancel(context.Background())
	k := &link{linker: linker, peer: peer, address: address, cancel: cancel, pendingCalls: make(map[uint64]chan *Response)}
	go k.run(ctx)
	return k
}

// run keeps a connection to the peer until the context ends. The delay before a
// redial doubles after each failed dial and has jitter of plus or minus half.
func (k *link) run(ctx context.Context) {
	delay := minRedialDelay
	for ctx.Err() == nil {
		closed, err := k.dial()
		if err != nil {
			k.linker.log.Debug("peer-not-reached", "peer", k.peer, "address", k.address, "cause", err)
			delay = min(2*delay, maxRedialDelay)
		} else {
			delay = minRedialDelay
			k.linker.log.Debug("peer-linked", "peer", k.peer, "address", k.address)
			k.pingUntilLost(ctx, closed)
			k.drop()
		}
		sleep(ctx, delay/2+time.Duration(rand.Int64N(int64(delay))))
	}
	k.drop()
}

// dial opens a connection. The returned channel is closed when the connection is.
func (k *link) dial() (<-chan struct{}, error) {
	closed := make(chan struct{})
	upgrader := newUpgrader(func(_ *websocket.Conn, message *Message) { k.receive(message) })
	upgrader.SetPongHandler(func(*websocket.Conn, string) { k.markHeard() })
	var once sync.Once
	upgrader.OnClose(func(*websocket.Conn, error) { once.Do(func() { close(closed) }) })
	// Each dial has its own Dialer, because a Dialer keeps the state of one dial.
	dialer := &websocket.Dialer{Engine: k.linker.client, Upgrader: upgrader, DialTimeout: dialTimeout}
	header := http.Header{
		headerInstance:    []string{string(k.linker.self)},
		headerIncarnation: []string{string(k.linker.incarnation)},
	}
	conn, _, err := dialer.Dial("ws://"+k.address+peerPath, header)
	if err != nil {
		return nil, fmt.Errorf("dial %s at %s: %w", k.peer, k.address, err)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.conn = conn
	k.dialCount++
	k.lastHeard = time.Now()
	k.dropped = make(chan struct{})
	return closed, nil
}

// pingUntilLost pings the peer until the connection is closed, a ping fails, the
// peer has been silent for pongTimeout or the context ends.
func (k *link) pingUntilLost(ctx context.Context, closed <-chan struct{}) {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-closed:
			return
		case <-ticker.C:
			if k.timedOut() || k.ping() != nil {
				return
			}
		}
	}
}

// timedOut reports whether nothing was received for pongTimeout.
func (k *link) timedOut() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return time.Since(k.lastHeard) > pongTimeout
}

func (k *link) ping() error {
	k.mu.Lock()
	conn := k.conn
	k.mu.Unlock()
	return conn.WriteMessage(websocket.PingMessage, nil)
}

func (k *link) markHeard() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lastHeard = time.Now()
}

// drop closes the connection. Pending calls on it fail.
func (k *link) drop() {
	k.mu.Lock()
	conn := k.conn
	k.conn = nil
	if k.dropped != nil {
		close(k.dropped)
		k.dropped = nil
	}
	k.mu.Unlock()
	if conn != nil {
		_ = conn.Close()
	}
}

func (k *link) stop() {
	k.cancel()
	k.drop()
}

// connectionNumber returns the number of the current connection, counted from 1,
// or 0 if there is none.
func (k *link) connectionNumber() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.conn == nil {
		return 0
	}
	return k.dialCount
}

func (k *link) send(message Message) error {
	k.mu.Lock()
	conn := k.conn
	k.mu.Unlock()
	if conn == nil {
		return fmt.Errorf("instance %s: %w", k.peer, ErrNoLink)
	}
	return k.linker.write(conn, message)
}

// call sends a call and waits for its response. It fails if the connection or the
// context ends first.
func (k *link) call(ctx context.Context, call Call) (*Response, error) {
	k.mu.Lock()
	conn, dropped := k.conn, k.dropped
	if conn == nil {
		k.mu.Unlock()
		return nil, fmt.Errorf("instance %s: %w", k.peer, ErrNoLink)
	}
	k.lastCallID++
	call.ID = k.lastCallID
	result := make(chan *Response, 1)
	k.pendingCalls[call.ID] = result
	k.mu.Unlock()
	defer k.removeCall(call.ID)
	if err := k.linker.write(conn, Message{Call: &call}); err != nil {
		return nil, err
	}
	select {
	case response := <-result:
		return response, nil
	case <-dropped:
		return nil, fmt.Errorf("instance %s: connection lost before the response", k.peer)
	case <-ctx.Done():
		return nil, fmt.Errorf("instance %s: %w", k.peer, ctx.Err())
	}
}

func (k *link) removeCall(id uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.pendingCalls, id)
}

// receive handles a message on the dialed connection. The peer sends nothing but
// responses on it; other messages are ignored.
func (k *link) receive(message *Message) {
	if message.Response == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lastHeard = time.Now()
	if result := k.pendingCalls[message.Response.ID]; result != nil {
		result <- message.Response
		delete(k.pendingCalls, message.Response.ID)
	}
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
