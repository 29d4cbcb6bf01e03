package linker_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"lagoonstile"
)

// TestStrangersDoNotKeepPeersOut opens many connections that send nothing, or a head
// without end, before a peer connects.
func TestStrangersDoNotKeepPeersOut(t *testing.T) {
	a, b := start(t, "127.0.0.1:0", "a", "b"), start(t, "127.0.0.1:0", "b", "a")
	defer a.linker.Close()
	defer b.linker.Close()
	const strangers = 100
	endless := "GET /lagoonstile/peer HTTP/1.1\r\nHost: a\r\nX-Long: " + strings.Repeat("x", 64<<10)
	for n := range strangers {
		conn, err := net.Dial("tcp", b.linker.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		if n%2 == 0 {
			continue
		}
		_, _ = io.WriteString(conn, endless) // It may be closed before the end.
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		var netErr net.Error
		if _, err := conn.Read(make([]byte, 1)); errors.As(err, &netErr) && netErr.Timeout() {
			t.Fatalf("connection %d with a head without end is open", n)
		}
	}
	a.linker.SetPeers(instanceList(b, "b"))
	await(t, "a is connected to b", func() bool { return a.linker.ConnectionNumbers()["b"] > 0 })
}

// TestEndlessAnswerToDialIsNotRead guards against a peer's address whose answer to the
// handshake never ends, and is kept until the dial times out.
func TestEndlessAnswerToDialIsNotRead(t *testing.T) {
	const within = 500 * time.Millisecond // The dial may take a second.
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	a := start(t, "127.0.0.1:0", "a", "b")
	defer a.linker.Close()
	a.linker.SetPeers([]lagoonstile.Instance{{ID: "b", State: lagoonstile.InstanceLive, PeerAddress: ln.Addr().String()}})
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	began := time.Now()
	_ = conn.SetWriteDeadline(began.Add(10 * time.Second))
	_, err = io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\n")
	for n := 0; err == nil; n++ {
		_, err = fmt.Fprintf(conn, "X-%d: value\r\n", n)
	}
	if took := time.Since(began); took > within {
		t.Errorf("the connection was closed after %v, want at most %v", took, within)
	}
}
