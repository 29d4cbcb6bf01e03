package operator_test

import (
	"context"
	"encoding/json"
	"net/http"
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

// TestResetAnswersOfShortRequestsAreErrors guards against a part of an answer without a
// length that ends with a reset, and passes for a complete one.
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
	responses := append(faker.MalformedHeads("", status), faker.InvalidStatuses("", status)...)
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
