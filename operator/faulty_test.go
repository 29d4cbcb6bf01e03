package operator_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"lagoonstile/internal/faker"
	"lagoonstile/operator"
)

// status is a status of an instance that is complete before its end, so that a part of it
// can be decoded.
const status = `{"version":7}   `

// clients are a client without an HTTP client of its own and one with a plain one.
func clients() map[string]*operator.Client {
	return map[string]*operator.Client{
		"default client": {},
		"plain client":   {HTTPClient: &http.Client{Transport: &http.Transport{}}},
	}
}

// TestBrokenOffAnswersAreErrors guards against a part of an answer without a length that
// ends with a reset, and passes for a complete answer. The request is long by its path.
func TestBrokenOffAnswersAreErrors(t *testing.T) {
	t.Parallel()
	const tries = 5
	for _, server := range faker.ResetEnds() {
		server.Reads, server.Response = faker.ReadsStart, "HTTP/1.1 200 OK\r\n\r\n"+status
		address := server.Start(t)
		for name, client := range clients() {
			for _, size := range []int{200 << 10, 8 << 20} {
				t.Run(fmt.Sprintf("%s, request of %d, %s", server.Name, size, name), func(t *testing.T) {
					t.Parallel()
					path := "/lagoonstile/entry?service=" + strings.Repeat("x", size)
					for range tries {
						var answer json.RawMessage
						if err := client.Get(t.Context(), address, path, &answer); err == nil {
							t.Errorf("a part passes for a complete answer: %s", answer)
						}
					}
				})
			}
		}
	}
}

// TestResetAnswersOfShortRequestsAreErrors guards against the same for requests of the size
// that operators send.
func TestResetAnswersOfShortRequestsAreErrors(t *testing.T) {
	t.Parallel()
	server := faker.Server{Response: "HTTP/1.1 200 OK\r\n\r\n" + status, Pause: 2 * time.Millisecond, End: faker.Reset}
	address := server.Start(t)
	for name, client := range clients() {
		var answer json.RawMessage
		if err := client.Get(t.Context(), address, "/status", &answer); err == nil {
			t.Errorf("%s: a part passes for a complete answer: %s", name, answer)
		}
		if err := client.Drain(t.Context(), address); err == nil {
			t.Errorf("%s: a part passes for a complete answer to a drain", name)
		}
	}
}

// TestMalformedAnswersAreErrors guards against answers that pass although a line of their
// head is no field, or their status is none.
func TestMalformedAnswersAreErrors(t *testing.T) {
	t.Parallel()
	responses := faker.Malformed("", status)
	for _, response := range responses {
		address := faker.Server{Response: response.Text, End: faker.Close}.Start(t)
		for name, client := range clients() {
			var answer json.RawMessage
			if err := client.Get(context.Background(), address, "/status", &answer); err == nil {
				t.Errorf("%s, %s: passes as %s", response.Name, name, answer)
			}
		}
	}
	address := faker.Server{Response: faker.Sound("", status), End: faker.Close}.Start(t)
	for name, client := range clients() {
		var answer json.RawMessage
		if err := client.Get(context.Background(), address, "/status", &answer); err != nil {
			t.Errorf("sound answer, %s: %v", name, err)
		}
	}
}
