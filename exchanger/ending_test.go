package exchanger_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"lagoonstile/internal/faker"
)

// TestBodiesWithoutLength checks which responses are complete whose body ends with the
// connection while a server has not read a long request. A reset that follows the end of
// the body breaks it off, as long as a part of the request is on its way.
func TestBodiesWithoutLength(t *testing.T) {
	const tries = 2
	// soon is less than a response waits for a request that makes no progress, and late
	// allows for one such wait.
	const soon, late = 900 * time.Millisecond, 3 * time.Second
	// A larger part may be on its way when the reset comes.
	read := []int{10, 4000}
	parts, uploads := append(read, 3<<20), []int{200 << 10, 1 << 20, 15 << 20}
	tests := []struct {
		server         faker.Server
		parts, uploads []int
		// within is the longest time that the response may take.
		within   time.Duration
		complete bool
	}{
		{faker.Server{Name: "reset after 5ms", End: faker.CloseWriteAndReset(5 * time.Millisecond)}, parts, uploads, late, false},
		{faker.Server{Name: "reset after 20ms", End: faker.CloseWriteAndReset(20 * time.Millisecond)}, parts, uploads, late, false},
		{faker.Server{Name: "reset long after the whole request", End: faker.CloseWriteAndReset(5 * time.Second), Reads: faker.ReadsAll}, read, []int{10, 200 << 10}, soon, true},
		{faker.Server{Name: "closed after the whole request", End: faker.Close, Reads: faker.ReadsAll}, read, []int{10, 200 << 10}, soon, true},
		{faker.Server{Name: "rest of the request is read", End: faker.CloseWriteAndDrain}, parts, uploads, late, true},
		{faker.Server{Name: "rest of the request is never read", End: faker.CloseWriteAndHold(5 * time.Second)}, read, uploads, late, true},
	}
	for _, test := range tests {
		for _, status := range []string{"200 OK", "413 Too Large"} {
			for _, part := range test.parts {
				server := test.server
				server.Response = "HTTP/1.1 " + status + "\r\nX-Id: 7\r\n\r\n" + strings.Repeat("x", part)
				address := server.Start(t)
				for _, size := range test.uploads {
					t.Run(fmt.Sprintf("%s, %s, part of %d, upload of %d", server.Name, status, part, size), func(t *testing.T) {
						t.Parallel()
						for range tries {
							ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
							began := time.Now()
							_, err := readAll(ctx, upload(address, size))
							if took := time.Since(began); (err == nil) != test.complete || took > test.within {
								t.Errorf("after %v: error %v; want a complete response: %t, within %v", took, err, test.complete, test.within)
							}
							cancel()
						}
					})
				}
			}
		}
	}
}
