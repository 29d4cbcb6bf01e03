package forwarder

import (
	"net"
	"net/http"
	"sync"
	"time"

	"lagoonstile/exchanger"
	"lagoonstile/inspector"
)

// Parameters of connections to servers.
const (
	connectTimeout = time.Second
	// idleTimeout is how long an unused connection is kept open.
	idleTimeout = 90 * time.Second
	// bufferBytes is the size of each of the two buffers of a connection. It is
	// small because there may be thousands of idle connections. Large reads and
	// writes of bodies bypass the buffers.
	bufferBytes = 4 << 10
	// idleConnectionBytes is what a connection without a request takes: its buffers, its
	// goroutines and its receive buffer.
	idleConnectionBytes = 64 << 10
)

// RequestBytes is what a Forwarder takes of the budget for each request in flight: an
// exchange with a server, and the part of the answer that it reads before it passes any of
// it on.
var RequestBytes = maxBufferedBody + exchanger.ExchangeBytes

// IdleConnections returns how many connections without a request take no more than so
// many bytes.
func IdleConnections(bytes int64) int { return max(int(bytes/idleConnectionBytes), 1) }

// transportKind is what transports differ in.
type transportKind struct {
	// maxConns is the maximum number of connections to a server.
	maxConns int
	// keepAlive is set if connections are kept for later requests. Those of orders are
	// not: a faulty server may write an earlier response once more, and a refusal would
	// then be taken for one of an order that has run.
	keepAlive bool
}

// transportLimits are limits that all transports have in common.
type transportLimits struct {
	responses exchanger.Limits
	// maxIdle is the maximum number of connections of a transport that have no request in
	// flight. The value 0 means no limit.
	maxIdle int
}

// transports holds one HTTP transport of each kind. The zero value is ready to use.
type transports struct {
	mu     sync.Mutex
	byKind map[transportKind]*inspector.Transport
}

// get returns the transport of a kind. The limits must be the same in all calls.
func (t *transports) get(kind transportKind, limits transportLimits) *inspector.Transport {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byKind == nil {
		t.byKind = make(map[transportKind]*inspector.Transport)
	}
	if t.byKind[kind] == nil {
		t.byKind[kind] = newTransport(kind, limits)
	}
	return t.byKind[kind]
}

// closeIdle closes the connections that have no request in flight.
func (t *transports) closeIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, transport := range t.byKind {
		transport.CloseIdleConnections()
	}
}

// newTransport returns a transport that does not decompress bodies.
func newTransport(kind transportKind, limits transportLimits) *inspector.Transport {
	dialer := net.Dialer{Timeout: connectTimeout, Control: exchanger.ReceiveBuffer.Control}
	transport := &http.Transport{
		DialContext:            dialer.DialContext,
		DisableCompression:     true,
		DisableKeepAlives:      !kind.keepAlive,
		MaxConnsPerHost:        kind.maxConns,
		MaxIdleConns:           limits.maxIdle,
		MaxIdleConnsPerHost:    kind.maxConns,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: limits.responses.WithDefaults().MaxHeadBytes,
		ReadBufferSize:         bufferBytes,
		WriteBufferSize:        bufferBytes,
	}
	return inspector.NewTransport(transport, limits.responses.Head())
}

// Close closes the idle connections to servers.
func (f *Forwarder) Close() { f.transports.closeIdle() }
