package inspector

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"lagoonstile/rationer"
)

const okStart = "HTTP/1.1 200 OK\r\n"

// fields returns n empty fields.
func fields(n int) string {
	var text strings.Builder
	for i := range n {
		fmt.Fprintf(&text, "X%d:\r\n", i)
	}
	return text.String()
}

// TestFields checks which heads have too many fields, as whole and byte by byte.
func TestFields(t *testing.T) {
	tests := []struct {
		name, response string
		want           error
	}{
		{"none", okStart + "\r\n", nil},
		{"as many as allowed", okStart + fields(10) + "\r\n", nil},
		{"one more", okStart + fields(11) + "\r\n", ErrTooManyFields},
		{"one more, without an end", okStart + fields(11), ErrTooManyFields},
		{"lines end with a line feed", strings.ReplaceAll(okStart+fields(11), "\r\n", "\n"), ErrTooManyFields},
		{"interim heads have fields of their own", "HTTP/1.1 103 Early Hints\r\n" + fields(10) + "\r\n" + okStart + fields(10) + "\r\n", nil},
		{"one more in an interim head", "HTTP/1.1 103 Early Hints\r\n" + fields(11) + "\r\n", ErrTooManyFields},
		{"one more behind an interim head", "HTTP/1.1 100 Continue\r\n\r\n" + okStart + fields(11) + "\r\n", ErrTooManyFields},
		{"lines of a body are no fields", okStart + "\r\n" + fields(100), nil},
		{"no interim head", "HTTP/1.1 101 Switching Protocols\r\n\r\n" + fields(100), nil},
	}
	for _, test := range tests {
		sources := map[string]io.Reader{
			"whole": strings.NewReader(test.response), "byte by byte": iotest.OneByteReader(strings.NewReader(test.response)),
		}
		for how, source := range sources {
			read, err := io.ReadAll(&Reader{Source: source, Head: Head{Limits: Limits{MaxFields: 10}}})
			if !errors.Is(err, test.want) {
				t.Errorf("%s, %s: error %v, want %v", test.name, how, err, test.want)
			}
			if err == nil && string(read) != test.response {
				t.Errorf("%s, %s: read %q", test.name, how, read)
			}
			if err != nil && len(read) == 0 {
				t.Errorf("%s, %s: the bytes before the one at fault were lost", test.name, how)
			}
		}
	}
}

// TestMemoryOfHeads checks that what a head becomes is taken, that a head is refused for
// which there is no memory, and that it is known how much must be returned.
func TestMemoryOfHeads(t *testing.T) {
	tests := []struct {
		name, head string
		budget     int64
		want       error
	}{
		{"ordinary head", okStart + fields(20) + "\r\n", 0, nil},
		{"many fields", okStart + fields(100) + "\r\n", 64 << 10, nil},
		{"many fields without memory", okStart + fields(100) + "\r\n", 8 << 10, ErrNoMemory},
		{"long value", okStart + "X: " + strings.Repeat("v", 60<<10) + "\r\n\r\n", 128 << 10, nil},
		{"long value without memory", okStart + "X: " + strings.Repeat("v", 60<<10) + "\r\n\r\n", 64 << 10, ErrNoMemory},
	}
	for _, test := range tests {
		budget := rationer.New(test.budget)
		share := budget.NewShare(rationer.Request, func(rationer.Phase) {})
		share.Begin(rationer.Working)
		reader := &Reader{Source: strings.NewReader(test.head), Head: Head{Take: func(bytes int64) bool { return share.Take(t.Context(), bytes) }}}
		_, err := http.ReadResponse(bufio.NewReader(reader), nil)
		if !errors.Is(err, test.want) {
			t.Errorf("%s: error %v, want %v", test.name, err, test.want)
		}
		held := budget.Usage().HeldBytes
		if held > test.budget {
			t.Errorf("%s: %d bytes are held of %d", test.name, held, test.budget)
		}
		if err == nil && test.budget > 0 && held < int64(len(test.head)) {
			t.Errorf("%s: %d bytes are held for a head of %d", test.name, held, len(test.head))
		}
		if taken := reader.Head.TakenBytes(); taken != held {
			t.Errorf("%s: %d bytes are held, and %d were taken", test.name, held, taken)
		}
	}
}

// TestTransportChecksEachResponse has a server answer several requests on one connection,
// the last one with too many fields.
func TestTransportChecksEachResponse(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	const good = 3
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for n := 0; ; n++ {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			head := okStart + fields(100-1) + "Content-Length: 300\r\n\r\n" + strings.Repeat("a:\n", 100)
			if n == good {
				head = okStart + fields(100+1) + "\r\n"
			}
			_, _ = io.WriteString(conn, head)
		}
	}()
	client := &http.Client{Transport: NewTransport(&http.Transport{DialContext: (&net.Dialer{}).DialContext}, Limits{})}
	defer client.CloseIdleConnections()
	for n := range good {
		res, err := client.Get("http://" + ln.Addr().String())
		if err != nil {
			t.Fatalf("response %d: %v", n, err)
		}
		if body, err := io.ReadAll(res.Body); len(body) != 300 || err != nil {
			t.Errorf("response %d: %d bytes, error %v", n, len(body), err)
		}
		_ = res.Body.Close()
	}
	res, err := client.Get("http://" + ln.Addr().String())
	if err == nil {
		_ = res.Body.Close()
	}
	if !errors.Is(err, ErrTooManyFields) {
		t.Errorf("error %v, want %v", err, ErrTooManyFields)
	}
}
