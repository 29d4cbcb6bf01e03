package caller_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"lagoonstile/caller"
	"lagoonstile/internal/faker"
)

// callers returns a caller without a client of its own and one with a plain client, both of
// a fleet whose only instance is at the given address.
func callers(t *testing.T, instance string) map[string]*caller.Caller {
	t.Helper()
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"addresses":[{"address":%q}],"home":"p.i.1","valid-for-ms":60000}`, instance)
	}))
	t.Cleanup(entry.Close)
	return map[string]*caller.Caller{
		"default client": {Seeds: []string{address(entry)}},
		"plain client":   {Seeds: []string{address(entry)}, Client: &http.Client{Transport: &http.Transport{}}},
	}
}

// TestBrokenOffAnswersAreErrors guards against a part of an answer without a length that
// ends with a reset, and passes for a complete answer.
func TestBrokenOffAnswersAreErrors(t *testing.T) {
	t.Parallel()
	const tries = 5
	for _, server := range faker.ResetEnds() {
		for _, size := range []int{200 << 10, 8 << 20} {
			server.Response = "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", 4000)
			for name, c := range callers(t, server.Start(t)) {
				t.Run(fmt.Sprintf("%s, upload of %d, %s", server.Name, size, name), func(t *testing.T) {
					t.Parallel()
					for range tries {
						ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
						answer, err := c.Order(ctx, caller.Request{Service: "orders", Method: http.MethodPost, Path: "/order", Body: make([]byte, size)})
						cancel()
						if err == nil {
							t.Errorf("a part of %d bytes passes for a complete answer", len(answer.Body))
						}
					}
				})
			}
		}
	}
}

// TestMalformedAnswersAreErrors guards against answers that pass although a line of their
// head is no field, or their status is none.
func TestMalformedAnswersAreErrors(t *testing.T) {
	t.Parallel()
	responses := faker.Malformed("", "good")
	for _, response := range responses {
		instance := faker.Server{Response: response.Text, Reads: faker.ReadsAll, End: faker.Close}.Start(t)
		for name, c := range callers(t, instance) {
			t.Run(response.Name+", "+name, func(t *testing.T) {
				t.Parallel()
				ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
				defer cancel()
				answer, err := c.Do(ctx, caller.Request{Service: "stock", Method: http.MethodGet, Path: "/stock"})
				if err == nil {
					t.Errorf("answer with status %d, header %v and body %q passes", answer.Status, answer.Header, answer.Body)
				}
			})
		}
	}
}

// TestMalformedEntryAnswersAreErrors guards against entry answers that pass although a line
// of their head is no field, or their status is none.
func TestMalformedEntryAnswersAreErrors(t *testing.T) {
	t.Parallel()
	instance := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	t.Cleanup(instance.Close)
	body := fmt.Sprintf(`{"addresses":[{"address":%q}],"home":"p.i.1","valid-for-ms":60000}`, address(instance))
	sound := faker.Response{Name: "sound", Text: faker.Sound("", body)}
	for _, response := range append(faker.Malformed("", body), sound) {
		t.Run(response.Name, func(t *testing.T) {
			t.Parallel()
			timeout := 200 * time.Millisecond // The caller tries again until then.
			if response == sound {
				timeout = 10 * time.Second
			}
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			c := &caller.Caller{Seeds: []string{faker.Server{Response: response.Text, End: faker.Close}.Start(t)}}
			_, err := c.Do(ctx, caller.Request{Service: "stock", Method: http.MethodGet, Path: "/stock"})
			if passes := err == nil; passes != (response == sound) {
				t.Errorf("the entry answer passes: %t, error %v", passes, err)
			}
		})
	}
}

// TestAnswersWithoutLength checks that an answer which ends with its connection is read,
// also if its server has not read all of the request by then.
func TestAnswersWithoutLength(t *testing.T) {
	t.Parallel()
	tests := []faker.Server{
		{Name: "closed after the request", Reads: faker.ReadsAll, End: faker.Close},
		{Name: "ended, the rest of the request is read", End: faker.CloseWriteAndDrain},
		{Name: "ended, the rest of the request is not read", End: faker.CloseWriteAndHold(10 * time.Second)},
	}
	for _, server := range tests {
		server.Response = "HTTP/1.1 200 OK\r\n\r\ngood"
		for name, c := range callers(t, server.Start(t)) {
			for _, size := range []int{0, 10, 200 << 10, 8 << 20} {
				t.Run(fmt.Sprintf("%s, upload of %d, %s", server.Name, size, name), func(t *testing.T) {
					t.Parallel()
					ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
					defer cancel()
					answer, err := c.Order(ctx, caller.Request{Service: "orders", Method: http.MethodPost, Path: "/order", Body: make([]byte, size)})
					if err != nil || string(answer.Body) != "good" || answer.Sends != 1 {
						t.Errorf("answer %+v, error %v; want a body of good after one send", answer, err)
					}
				})
			}
		}
	}
}
