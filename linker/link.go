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

// link is the connection that this instance dials to one peer, and dials again
// for as long as the peer is wanted.
type link struct {
	linker  *Linker
	peer    lagoonstile.InstanceID
	address string
	cancel  context.CancelFunc

	mu sync.Mutex
	// conn is nil while there is no connection.
	conn *websocket.Conn
	// heard is when the last pong or return came.
	heard  time.Time
	nextID uint64
	// dials counts the connections so far.
	dials int
	// waiting holds the calls without a return, each a channel for one.
	waiting map[uint64]chan *Return
	lost    chan struct{}
}

func startLink(linker *Linker, peer lagoonstile.InstanceID, address string) *link {
	ctx, cancel := context.WithCancel(context.Background())
	k := &link{linker: linker, peer: peer, address: address, cancel: cancel, waiting: make(map[uint64]chan *Return)}
	go k.run(ctx)
	return k
}

// run keeps a connection to the peer until the link is stopped.
func (k *link) run(ctx context.Context) {
	redial := leastRedial
	for ctx.Err() == nil {
		lost, err := k.dial()
		if err != nil {
			k.linker.log.Debug("peer-not-reached", "peer", k.peer, "address", k.address, "cause", err)
			redial = min(2*redial, mostRedial)
		} else {
			redial = leastRedial
			k.linker.log.Debug("peer-linked", "peer", k.peer, "address", k.address)
			k.watch(ctx, lost)
			k.drop()
		}
		sleep(ctx, redial/2+time.Duration(rand.Int64N(int64(redial))))
	}
	k.drop()
}

// dial opens a connection. The channel is closed when it is lost.
func (k *link) dial() (<-chan struct{}, error) {
	lost := make(chan struct{})
	upgrader := newUpgrader(func(_ *websocket.Conn, message *Message) { k.hear(message) })
	upgrader.SetPongHandler(func(*websocket.Conn, string) { k.alive() })
	var once sync.Once
	upgrader.OnClose(func(*websocket.Conn, error) { once.Do(func() { close(lost) }) })
	// A dialer keeps state of its one dial, so each dial has its own.
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
	k.dials++
	k.heard = time.Now()
	k.lost = make(chan struct{})
	return lost, nil
}

// watch pings the peer until the connection is lost, silent or stopped.
func (k *link) watch(ctx context.Context, lost <-chan struct{}) {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-lost:
			return
		case <-ticker.C:
			if k.silent() || k.ping() != nil {
				return
			}
		}
	}
}

func (k *link) silent() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return time.Since(k.heard) > pongTimeout
}

func (k *link) ping() error {
	k.mu.Lock()
	conn := k.conn
	k.mu.Unlock()
	return conn.WriteMessage(websocket.PingMessage, nil)
}

func (k *link) alive() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.heard = time.Now()
}

// drop closes the connection; calls on it end without a return.
func (k *link) drop() {
	k.mu.Lock()
	conn := k.conn
	k.conn = nil
	if k.lost != nil {
		close(k.lost)
		k.lost = nil
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

// connection returns the number of the connection, from 1 on, or 0 while there
// is none.
func (k *link) connection() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.conn == nil {
		return 0
	}
	return k.dials
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

// call sends a call and waits for its return, the end of the connection or of
// the context.
func (k *link) call(ctx context.Context, call Call) (*Return, error) {
	k.mu.Lock()
	conn, lost := k.conn, k.lost
	if conn == nil {
		k.mu.Unlock()
		return nil, fmt.Errorf("instance %s: %w", k.peer, ErrNoLink)
	}
	k.nextID++
	call.ID = k.nextID
	answer := make(chan *Return, 1)
	k.waiting[call.ID] = answer
	k.mu.Unlock()
	defer k.forget(call.ID)
	if err := k.linker.write(conn, Message{Call: &call}); err != nil {
		return nil, err
	}
	select {
	case ret := <-answer:
		return ret, nil
	case <-lost:
		return nil, fmt.Errorf("instance %s: link lost before the return", k.peer)
	case <-ctx.Done():
		return nil, fmt.Errorf("instance %s: %w", k.peer, ctx.Err())
	}
}

func (k *link) forget(id uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.waiting, id)
}

// hear takes in a message on the dialled connection: returns only.
func (k *link) hear(message *Message) {
	if message.Return == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.heard = time.Now()
	if answer := k.waiting[message.Return.ID]; answer != nil {
		answer <- message.Return
		delete(k.waiting, message.Return.ID)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
