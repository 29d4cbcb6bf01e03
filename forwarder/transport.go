package forwarder

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Timing of connections to servers.
const (
	connectTimeout = time.Second
	idleTimeout    = 90 * time.Second
	// maxHeaderBytes bounds the head of a server's answer.
	maxHeaderBytes = 256 << 10
	// bufferBytes is each of the two buffers of a connection. Pieces of large
	// bodies pass them by, and there may be thousands of warm connections.
	bufferBytes = 4 << 10
)

// transports holds one HTTP transport for each bound on connections. The zero
// value is ready to use.
type transports struct {
	mu      sync.Mutex
	byBound map[int]*http.Transport
}

// of returns the transport that opens at most bound connections to a server.
func (t *transports) of(bound int) *http.Transport {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byBound == nil {
		t.byBound = make(map[int]*http.Transport)
	}
	if t.byBound[bound] == nil {
		t.byBound[bound] = newTransport(bound)
	}
	return t.byBound[bound]
}

// closeIdle closes the connections that wait for another request.
func (t *transports) closeIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, transport := range t.byBound {
		transport.CloseIdleConnections()
	}
}

// newTransport keeps connections warm up to the bound and passes bodies on as
// they are.
func newTransport(bound int) *http.Transport {
	dialer := net.Dialer{Timeout: connectTimeout}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		DisableCompression:     true,
		MaxConnsPerHost:        bound,
		MaxIdleConnsPerHost:    bound,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         bufferBytes,
		WriteBufferSize:        bufferBytes,
	}
}

// Close closes the idle connections to servers.
func (f *Forwarder) Close() { f.transports.closeIdle() }
