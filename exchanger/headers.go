package exchanger

import (
	"net/http"
	"strings"
)

// hopByHop lists the headers that speak of one connection only (RFC 9110,
// section 7.6.1), and those that every hop sets for itself.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Host": true,
}

// EndToEnd copies the headers that a hop passes on.
func EndToEnd(header http.Header) http.Header {
	dropped := make(map[string]bool)
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			dropped[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	out := make(http.Header, len(header))
	for name, values := range header {
		if !hopByHop[name] && !dropped[name] {
			out[name] = append([]string(nil), values...)
		}
	}
	return out
}
