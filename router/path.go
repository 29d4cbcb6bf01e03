package router

import (
	"net/url"
	"regexp"
	"strings"
)

// percentCode matches one percent-encoded byte.
var percentCode = regexp.MustCompile(`%[0-9A-Fa-f]{2}`)

// normalize returns a path, or the prefix of one, in a form in which equivalent paths are
// equal (RFC 3986, section 6.2.2): only what must be percent-encoded is, by upper-case
// digits. A percent-encoded slash is not equivalent to a slash, so it stays encoded.
func normalize(path string) string {
	decoded, err := url.PathUnescape(path)
	if err != nil {
		decoded = path
	}
	escaped := (&url.URL{Path: decoded, RawPath: path}).EscapedPath()
	if strings.IndexByte(escaped, '%') < 0 {
		return escaped
	}
	return percentCode.ReplaceAllStringFunc(escaped, normalizeCode)
}

// normalizeCode decodes a percent-encoded byte if it is an unreserved character (RFC 3986,
// section 2.3), and otherwise returns it with upper-case digits.
func normalizeCode(code string) string {
	decoded, err := url.PathUnescape(code)
	if err == nil && isUnreserved(decoded[0]) {
		return decoded
	}
	return strings.ToUpper(code)
}

func isUnreserved(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte("-._~", c) >= 0
}
