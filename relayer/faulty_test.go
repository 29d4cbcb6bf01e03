package relayer_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"lagoonstile"
	"lagoonstile/internal/faker"
	"lagoonstile/listener"
)

// responseFields are the fields of a response to the request of send.
const responseFields = "X-Id: 7\r\nX-Signed: yes\r\n"

// listenFor serves a new relayer, which trusts the server at the given address, and returns
// the address of its listener.
func listenFor(t *testing.T, server string) string {
	t.Helper()
	route := lagoonstile.PlannedRoute{MaxAttempts: 1, Timeout: 20 * time.Second, Objective: 20 * time.Second}
	limits := listener.DefaultLimits
	limits.MaxRequestBytes = 16 << 20
	l, err := listener.Listen("127.0.0.1:0", limits, newRelayerTo(t, route, server))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l.Address()
}

// send sends a request in a version of HTTP/1 and returns the status and body of the
// response. The error is not nil if the response was broken off.
func send(t *testing.T, address, version string, size int) (int, string, error) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "POST /7 HTTP/%s\r\nHost: shop.example\r\nX-Id: 7\r\nContent-Length: %d\r\n\r\n", version, size)
	_, _ = conn.Write(make([]byte, size))
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	body, err := io.ReadAll(res.Body)
	return res.StatusCode, string(body), err
}

// TestBrokenOffResponsesAreNotPassedOn guards against a part of a response without a length
// that its server ends with a reset, and that a client gets as a complete response.
func TestBrokenOffResponsesAreNotPassedOn(t *testing.T) {
	t.Parallel()
	const tries = 3
	for _, server := range faker.ResetEnds() {
		for _, part := range []int{10, 3 << 20} {
			server.Response = "HTTP/1.1 200 OK\r\n" + responseFields + "\r\n" + strings.Repeat("x", part)
			address := server.Start(t)
			for _, size := range []int{200 << 10, 4 << 20, 15 << 20} {
				t.Run(fmt.Sprintf("%s, part of %d, upload of %d", server.Name, part, size), func(t *testing.T) {
					t.Parallel()
					for _, version := range []string{"1.0", "1.1"} {
						for range tries {
							if status, body, err := send(t, listenFor(t, address), version, size); err == nil && status < http.StatusInternalServerError {
								t.Errorf("HTTP/%s: status %d with a body of %d bytes passes for complete", version, status, len(body))
							}
						}
					}
				})
			}
		}
	}
}

// TestMalformedResponsesAreNotPassedOn guards against responses that reach a client although
// a line of their head is no field, their status is none, or they also name another request.
func TestMalformedResponsesAreNotPassedOn(t *testing.T) {
	t.Parallel()
	responses := append(faker.Malformed(responseFields, "good"),
		faker.Response{Name: "ID of another request besides", Text: faker.Sound(responseFields+"X-Id: 8\r\n", "good")})
	for _, response := range responses {
		address := faker.Server{Response: response.Text, Reads: faker.ReadsAll, End: faker.Close}.Start(t)
		for _, size := range []int{0, 10} {
			status, body, err := send(t, listenFor(t, address), "1.1", size)
			if err != nil || status != http.StatusBadGateway {
				t.Errorf("%s, upload of %d: status %d, body %q, error %v; want status 502", response.Name, size, status, body, err)
			}
		}
	}
	address := listenFor(t, faker.Server{Response: faker.Sound(responseFields, "good"), Reads: faker.ReadsAll, End: faker.Close}.Start(t))
	if status, body, err := send(t, address, "1.1", 10); err != nil || status != http.StatusOK || body != "good" {
		t.Errorf("sound response: status %d, body %q, error %v", status, body, err)
	}
}
