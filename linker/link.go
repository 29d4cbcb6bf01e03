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
	// pendingCalls maps the ID of each call that waits for a response to the channel
	// for the response, which has a buffer of one.
	pendingCalls map[uint64]chan *Response
	// dropped is closed when conn is dropped.
	dropped chan struct{}
}

func startLink(linker *Linker, peer lagoonstile.InstanceID, address string) *link {
	ctx, cancel := context.WithCancel(context.Background())
	started := &link{linker: linker, peer: peer, address: address, cancel: cancel, pendingCalls: make(map[uint64]chan *Response)}
	go started.run(ctx)
	return started
}

// run keeps a connection to the peer until the context ends. The delay before a
// redial doubles with each failed dial up to maxRedialDelay and has a jitter of
// plus or minus 50 percent.
func (link *link) run(ctx context.Context) {
	delay := minRedialDelay
	for ctx.Err() == nil {
		closed, err := link.dial()
		if err != nil {
			link.linker.log.Debug("peer-not-reached", "peer", link.peer, "address", link.address, "cause", err)
			delay = min(2*delay, maxRedialDelay)
		} else {
			delay = minRedialDelay
			link.linker.log.Debug("peer-linked", "peer", link.peer, "address", link.address)
			link.pingUntilLost(ctx, closed)
			link.drop()
		}
		sleep(ctx, delay/2+time.Duration(rand.Int64N(int64(delay))))
	}
	link.drop()
}

// dial opens a connection. The returned channel is closed when the connection is.
func (link *link) dial() (<-chan struct{}, error) {
	closed := make(chan struct{})
	upgrader := newUpgrader(func(_ *websocket.Conn, message *Message) { link.receive(message) })
	upgrader.SetPongHandler(func(*websocket.Conn, string) { link.markHeard() })
	var once sync.Once
	upgrader.OnClose(func(*websocket.Conn, error) { once.Do(func() { close(closed) }) })
	// Each dial has its own Dialer, because a Dialer keeps the state of one dial.
	dialer := &websocket.Dialer{Engine: link.linker.client, Upgrader: upgrader, DialTimeout: dialTimeout}
	header := http.Header{
		headerInstance:    []string{string(link.linker.self)},
		headerIncarnation: []string{string(link.linker.incarnation)},
	}
	defer link.linker.dials.dial(link.address)()
	conn, _, err := dialer.Dial("ws://"+link.address+peerPath, header)
	if err != nil {
		return nil, fmt.Errorf("dial %s at %s: %w", link.peer, link.address, err)
	}
	link.mu.Lock()
	defer link.mu.Unlock()
	link.conn = conn
	link.dialCount++
	link.lastHeard = time.Now()
	link.dropped = make(chan struct{})
	return closed, nil
}

// pingUntilLost pings the peer until the connection is closed, a ping fails, the
// peer has been silent for pongTimeout or the context ends.
func (link *link) pingUntilLost(ctx context.Context, closed <-chan struct{}) {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-closed:
			return
		case <-ticker.C:
			if link.timedOut() || link.ping() != nil {
				return
			}
		}
	}
}

// timedOut reports whether no pong or response was received for pongTimeout.
func (link *link) timedOut() bool {
	link.mu.Lock()
	defer link.mu.Unlock()
	return time.Since(link.lastHeard) > pongTimeout
}

func (link *link) ping() error {
	link.mu.Lock()
	conn := link.conn
	link.mu.Unlock()
	return conn.WriteMessage(websocket.PingMessage, nil)
}

func (link *link) markHeard() {
	link.mu.Lock()
	defer link.mu.Unlock()
	link.lastHeard = time.Now()
}

// drop closes the connection. Pending calls on it fail.
func (link *link) drop() {
	link.mu.Lock()
	conn := link.conn
	link.conn = nil
	if link.dropped != nil {
		close(link.dropped)
		link.dropped = nil
	}
	link.mu.Unlock()
	if conn != nil {
		_ = conn.Close()
	}
}

func (link *link) stop() {
	link.cancel()
	link.drop()
}

// connectionNumber returns the number of the current connection, counted from 1,
// or 0 if there is none.
func (link *link) connectionNumber() int {
	link.mu.Lock()
	defer link.mu.Unlock()
	if link.conn == nil {
		return 0
	}
	return link.dialCount
}

func (link *link) send(message Message) error {
	link.mu.Lock()
	conn := link.conn
	link.mu.Unlock()
	if conn == nil {
		return fmt.Errorf("instance %s: %w", link.peer, ErrNotConnected)
	}
	return link.linker.write(conn, message)
}

// call sends a call and waits for its response. It fails if the connection or the
// context ends first.
func (link *link) call(ctx context.Context, call Call) (*Response, error) {
	link.mu.Lock()
	conn, dropped := link.conn, link.dropped
	if conn == nil {
		link.mu.Unlock()
		return nil, fmt.Errorf("instance %s: %w", link.peer, ErrNotConnected)
	}
	link.lastCallID++
	call.ID = link.lastCallID
	result := make(chan *Response, 1)
	link.pendingCalls[call.ID] = result
	link.mu.Unlock()
	defer link.removeCall(call.ID)
	if err := link.linker.write(conn, Message{Call: &call}); err != nil {
		return nil, err
	}
	select {
	case response := <-result:
		return response, nil
	case <-dropped:
		return nil, fmt.Errorf("instance %s: connection lost before the response", link.peer)
	case <-ctx.Done():
		return nil, fmt.Errorf("instance %s: %w", link.peer, ctx.Err())
	}
}

func (link *link) removeCall(id uint64) {
	link.mu.Lock()
	defer link.mu.Unlock()
	delete(link.pendingCalls, id)
}

// receive handles a message on the dialed connection. The peer sends nothing but
// responses on it; other messages are ignored.
func (link *link) receive(message *Message) {
	if message.Response == nil {
		return
	}
	link.mu.Lock()
	defer link.mu.Unlock()
	link.lastHeard = time.Now()
	if result := link.pendingCalls[message.Response.ID]; result != nil {
		result <- message.Response
		delete(link.pendingCalls, message.Response.ID)
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
