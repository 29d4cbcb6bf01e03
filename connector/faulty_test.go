package connector_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"lagoonstile"
	"lagoonstile/connector"
	"lagoonstile/internal/faker"
)

// clients are no client and a plain one.
var clients = map[string]*http.Client{"default client": nil, "plain client": {Transport: &http.Transport{}}}

// TestBrokenOffResponsesAreErrors guards against a part of a response without a length that
// ends with a reset, and passes for a complete response to an append.
func TestBrokenOffResponsesAreErrors(t *testing.T) {
	t.Parallel()
	const tries = 5
	for _, server := range faker.ResetEnds() {
		server.Response = "HTTP/1.1 200 OK\r\n\r\n" + `{"offset":7}   `
		base := "http://" + server.Start(t)
		for name, client := range clients {
			for _, size := range []int{200 << 10, 8 << 20} {
				t.Run(fmt.Sprintf("%s, record of %d, %s", server.Name, size, name), func(t *testing.T) {
					t.Parallel()
					log := &connector.Log{Base: base, Client: client}
					for range tries {
						if offset, err := log.Append(t.Context(), lagoonstile.StreamConfiguration, make([]byte, size)); err == nil {
							t.Errorf("a part passes for a complete response: offset %d", offset)
						}
					}
				})
			}
		}
	}
}

// TestResetResponsesOfReadsAreErrors guards against the same for requests without a body.
func TestResetResponsesOfReadsAreErrors(t *testing.T) {
	t.Parallel()
	for body, call := range calls() {
		server := faker.Server{Response: "HTTP/1.1 200 OK\r\n\r\n" + body + "   ", Pause: 2 * time.Millisecond, End: faker.Reset}
		base := "http://" + server.Start(t)
		for name, client := range clients {
			if err := call(base, client); err == nil {
				t.Errorf("%s, %s: a part passes for a complete response", body, name)
			}
		}
	}
}

// calls returns the calls to services, by the body of a response that each accepts.
func calls() map[string]func(base string, client *http.Client) error {
	ctx := context.Background()
	return map[string]func(string, *http.Client) error{
		`{"offset":7}`: func(base string, client *http.Client) error {
			_, err := (&connector.Log{Base: base, Client: client}).Append(ctx, lagoonstile.StreamConfiguration, []byte("x"))
			return err
		},
		`{"next":7}`: func(base string, client *http.Client) error {
			_, err := (&connector.Log{Base: base, Client: client}).Read(ctx, lagoonstile.StreamConfiguration, 0, 0)
			return err
		},
		`[]`: func(base string, client *http.Client) error {
			_, err := (&connector.InstanceList{Base: base, Client: client}).Instances(ctx)
			return err
		},
	}
}

// TestMalformedResponsesAreErrors guards against responses that pass although a line of
// their head is no field, or their status is none.
func TestMalformedResponsesAreErrors(t *testing.T) {
	t.Parallel()
	for body, call := range calls() {
		for _, response := range faker.Malformed("", body) {
			base := "http://" + faker.Server{Response: response.Text, Reads: faker.ReadsAll, End: faker.Close}.Start(t)
			for name, client := range clients {
				if err := call(base, client); err == nil {
					t.Errorf("%s, %s, %s: passes", body, response.Name, name)
				}
			}
		}
		base := "http://" + faker.Server{Response: faker.Sound("", body), Reads: faker.ReadsAll, End: faker.Close}.Start(t)
		for name, client := range clients {
			if err := call(base, client); err != nil {
				t.Errorf("%s, sound response, %s: %v", body, name, err)
			}
		}
	}
}
