package linker_test

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"lagoonstile"
)

// relayChanged relays connections to a peer and changes the status line of its answers to
// the handshake. It returns the address of the relay.
func relayChanged(t *testing.T, peer, statusLine string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			upstream, err := net.Dial("tcp", peer)
			if err != nil {
				_ = conn.Close()
				continue
			}
			go func() {
				_, _ = io.Copy(upstream, conn)
				_ = upstream.Close()
			}()
			go func() {
				defer func() { _ = conn.Close() }()
				head := make([]byte, 4<<10)
				n, _ := upstream.Read(head)
				_, rest, _ := strings.Cut(string(head[:n]), "\r\n")
				_, _ = io.WriteString(conn, statusLine+"\r\n"+rest)
				_, _ = io.Copy(conn, upstream)
			}()
		}
	}()
	return ln.Addr().String()
}

// TestMalformedHandshakesAreRefused guards against links to a peer whose answer to the
// handshake has a line that is no field, or a status that is none.
func TestMalformedHandshakesAreRefused(t *testing.T) {
	t.Parallel()
	const switching = "HTTP/1.1 101 Switching Protocols"
	// within is several times as long as a link takes that is not refused.
	const within = 300 * time.Millisecond
	tests := []struct {
		name, statusLine string
		linked           bool
	}{
		{"sound", switching, true},
		{"blank in a name", switching + "\r\nX Odd: v", false},
		{"blank at the end of a name", switching + "\r\nX-Odd : v", false},
		{"control byte in a name", switching + "\r\nX-\x01: v", false},
		{"zero byte in a name", switching + "\r\nX-\x00: v", false},
		{"no name", switching + "\r\n: v", false},
		{"two blanks", "HTTP/1.1  101 Switching Protocols", false},
		{"other version", "HTTP/2.0 101 Switching Protocols", false},
		{"status 000", "HTTP/1.1 000 Zero", false},
		{"status 099", "HTTP/1.1 099 Low", false},
		{"status 200", "HTTP/1.1 200 OK", false},
		{"status 999", "HTTP/1.1 999 High", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			a, b := start(t, "127.0.0.1:0", "a", "b"), start(t, "127.0.0.1:0", "b", "a")
			defer a.linker.Close()
			defer b.linker.Close()
			address := relayChanged(t, b.linker.Address(), test.statusLine)
			a.linker.SetPeers([]lagoonstile.Instance{{ID: "b", PeerAddress: address}})
			linked := func() bool { return a.linker.ConnectionNumbers()["b"] > 0 }
			if test.linked {
				await(t, "a is connected to b", linked)
				return
			}
			for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				if linked() {
					t.Fatal("a is connected to b")
				}
			}
		})
	}
}
