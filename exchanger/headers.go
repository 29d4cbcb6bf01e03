package exchanger

import (
	"net/http"
	"strings"
)

// hopByHop lists the headers that apply to one connection only (RFC 9110, section
// 7.6.1), and Content-Length and Host, which every hop sets itself.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Host": true,
}

// EndToEnd returns a copy of the headers without hop-by-hop headers and without
// those that the Connection header names.
func EndToEnd(header http.Header) http.Header {
	connectionHeaders := make(map[string]bool)
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			connectionHeaders[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	out := make(http.Header, len(header))
	for name, values := range header {
		if !hopByHop[name] && !connectionHeaders[name] {
			out[name] = append([]string(nil), values...)
		}
	}
	return out
}
