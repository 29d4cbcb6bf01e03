package forwarder_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"lagoonstile"
	"lagoonstile/internal/faker"
)

// upload sends an order with a body of the given size and returns the status of the answer.
// The error is not nil if the answer was broken off.
func (fix *fixture) upload(t *testing.T, size int) (int, error) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+fix.listener.Address()+"/resource", bytes.NewReader(make([]byte, size)))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(lagoonstile.HeaderKey, order[lagoonstile.HeaderKey])
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = res.Body.Close() }()
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, err
}

// TestBrokenOffResponsesAreNotForwarded guards against a part of a response without a
// length that its server ends with a reset, and that a caller gets as a complete answer.
func TestBrokenOffResponsesAreNotForwarded(t *testing.T) {
	t.Parallel()
	for _, server := range faker.ResetEnds() {
		for _, part := range []int{10, 4000, 100 << 10} {
			server.Response = "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", part)
			address := server.Start(t)
			for _, size := range []int{10, 200 << 10, 1 << 20} {
				t.Run(fmt.Sprintf("%s, part of %d, upload of %d", server.Name, part, size), func(t *testing.T) {
					t.Parallel()
					fix := newFixtureTo(t, false, address)
					if status, err := fix.upload(t, size); err != nil || status != http.StatusBadGateway {
						t.Errorf("status %d, error %v; want status 502", status, err)
					}
				})
			}
		}
	}
}

// TestMalformedResponsesAreNotForwarded guards against responses that reach a caller although
// a line of their head is no field, or their status is none.
func TestMalformedResponsesAreNotForwarded(t *testing.T) {
	t.Parallel()
	for _, response := range faker.Malformed("", "good") {
		server := faker.Server{Response: response.Text, Reads: faker.ReadsAll, End: faker.Close}.Start(t)
		// Orders use connections of their own, and lookups kept ones.
		for _, idempotent := range []bool{false, true} {
			method, header := http.MethodPost, order
			if idempotent {
				method, header = http.MethodGet, nil
			}
			res, body, err := newFixtureTo(t, idempotent, server).send(t, method, header)
			if err != nil || res.StatusCode != http.StatusBadGateway {
				t.Errorf("%s, idempotent %t: %v, body %q, error %v; want status 502", response.Name, idempotent, res, body, err)
			}
		}
	}
}
