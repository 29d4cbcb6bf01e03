package inspector

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// TestMalformedFields guards against lines that pass for fields although they are none, as
// whole and byte by byte, in each kind of head.
func TestMalformedFields(t *testing.T) {
	tests := []struct {
		name, line string
		want       error
	}{
		{"field", "X-Name: value", nil},
		{"no value", "X-Name:", nil},
		{"no blank before the value", "X-Name:value", nil},
		{"tab and high bytes in a value", "X-Name: a\tb\xe9", nil},
		{"all bytes of a token", "aZ09!#$%&'*+-.^_`|~: x", nil},
		{"blank before the colon", "Content-Length : 5", ErrMalformed},
		{"tab before the colon", "Content-Length\t: 5", ErrMalformed},
		{"blank in a name", "Content Length: 5", ErrMalformed},
		{"blank in an odd name", "X Odd: v", ErrMalformed},
		{"blank before a name", " X-Name: v", ErrMalformed},
		{"tab before a name", "\tX-Name: v", ErrMalformed},
		{"control byte in a name", "X-\x01: v", ErrMalformed},
		{"zero byte in a name", "X-\x00: v", ErrMalformed},
		{"carriage return in a name", "X-\rN: v", ErrMalformed},
		{"DEL in a name", "X-\x7f: v", ErrMalformed},
		{"high byte in a name", "X-\xe9: v", ErrMalformed},
		{"separator in a name", "X(N): v", ErrMalformed},
		{"no name", ": v", ErrMalformed},
		{"no colon", "X-Name", ErrMalformed},
		{"control byte in a value", "X-Name: \x01", ErrMalformed},
		{"zero byte in a value", "X-Name: \x00", ErrMalformed},
		{"carriage return in a value", "X-Name: a\rb", ErrMalformed},
		{"two carriage returns at the end", "X-Name: a\r\r", ErrMalformed},
		{"DEL in a value", "X-Name: \x7f", ErrMalformed},
	}
	const first, rest = "X-First: 1\r\n", "X-Last: 2\r\n\r\n"
	heads := []struct{ name, before, after string }{
		{"first line", okStart, "\r\n" + rest},
		{"later line", okStart + first, "\r\n" + rest},
		{"line that ends with a line feed", okStart + first, "\n" + rest},
		{"interim head", "HTTP/1.1 103 Early Hints\r\n" + first, "\r\n" + rest + okStart + rest},
		{"behind an interim head", "HTTP/1.1 100 Continue\r\n\r\n" + okStart, "\r\n" + rest},
	}
	for _, test := range tests {
		if err := CheckField([]byte(test.line)); !errors.Is(err, test.want) {
			t.Errorf("%s: error %v, want %v", test.name, err, test.want)
		}
		for _, head := range heads {
			response := head.before + test.line + head.after
			sources := map[string]io.Reader{
				"whole": strings.NewReader(response), "byte by byte": iotest.OneByteReader(strings.NewReader(response)),
			}
			for how, source := range sources {
				read, err := io.ReadAll(&Reader{Source: source})
				if !errors.Is(err, test.want) {
					t.Errorf("%s, %s, %s: error %v, want %v", test.name, head.name, how, err, test.want)
				}
				if err != nil && strings.HasSuffix(string(read), "\r\n\r\n") && head.name != "behind an interim head" {
					t.Errorf("%s, %s, %s: a whole head was passed on", test.name, head.name, how)
				}
			}
		}
	}
}

// TestStatusLines checks which first lines are status lines of HTTP/1. What follows one of
// an interim head is a head, and what follows that of a final one is its body.
func TestStatusLines(t *testing.T) {
	tests := []struct {
		line string
		want error
	}{
		{"HTTP/1.1 200 OK", nil},
		{"HTTP/1.0 200 OK", nil},
		{"HTTP/1.7 200 OK", nil},
		{"HTTP/1.1 200 ", nil},
		{"HTTP/1.1 200", nil},
		{"HTTP/1.1 000 Zero", nil}, // A status is judged where it is known what was asked.
		{"HTTP/1.1 200 \xe9\t\x01", nil},
		{"HTTP/1.1  200 OK", ErrMalformed},
		{"HTTP/1.1  103 Early Hints", ErrMalformed},
		{"HTTP/1.1\t200 OK", ErrMalformed},
		{"HTTP/1.1 200\tOK", ErrMalformed},
		{"HTTP/1.1 200OK", ErrMalformed},
		{" HTTP/1.1 200 OK", ErrMalformed},
		{"http/1.1 200 OK", ErrMalformed},
		{"HTTP/0.9 200 OK", ErrMalformed},
		{"HTTP/2.0 200 OK", ErrMalformed},
		{"HTTP/2 200 OK", ErrMalformed},
		{"HTTP/1 200 OK", ErrMalformed},
		{"HTTP/1.10 200 OK", ErrMalformed},
		{"HTTP/1.1 20 OK", ErrMalformed},
		{"HTTP/1.1 2000 OK", ErrMalformed},
		{"HTTP/1.1 +20 OK", ErrMalformed},
		{"HTTP/1.1 OK", ErrMalformed},
		{"HTTP/1.1 ", ErrMalformed},
		{"HTTP/1.1", ErrMalformed},
		{"", ErrMalformed},
	}
	for _, test := range tests {
		for _, end := range []string{"\r\n", "\n"} {
			for _, before := range []string{"", "HTTP/1.1 103 Early Hints\r\n\r\n"} {
				response := before + test.line + end + "X: 1\r\n\r\n"
				if _, err := io.ReadAll(&Reader{Source: iotest.OneByteReader(strings.NewReader(response))}); !errors.Is(err, test.want) {
					t.Errorf("%q: error %v, want %v", response, err, test.want)
				}
			}
		}
	}
}

// TestFramingOfVersions checks that a transfer coding is refused where the version has
// none (RFC 9112, section 6.1).
func TestFramingOfVersions(t *testing.T) {
	tests := []struct {
		response string
		want     error
	}{
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", nil},
		{"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", ErrMalformed},
		{"HTTP/1.0 200 OK\r\ntransfer-encoding:chunked\r\n\r\n", ErrMalformed},
		{"HTTP/1.0 200 OK\r\nTransfer-Encoding-2: chunked\r\n\r\n", nil},
		{"HTTP/1.0 200 OK\r\nTransfer: chunked\r\n\r\n", nil},
		{"HTTP/1.0 200 OK\r\nX: Transfer-Encoding: chunked\r\n\r\n", nil},
		{"HTTP/1.1 200 odd\x01\rreason\r\nX: 1\r\n\r\n", nil},
	}
	for _, test := range tests {
		if _, err := io.ReadAll(&Reader{Source: strings.NewReader(test.response)}); !errors.Is(err, test.want) {
			t.Errorf("%q: error %v, want %v", test.response, err, test.want)
		}
	}
}
