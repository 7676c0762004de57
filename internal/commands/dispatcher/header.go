package dispatcher

import (
	"net/http"
	"strings"
)

// hopByHopHeaders returns the headers that a proxy must not forward (RFC 9110,
// section 7.6.1).
func hopByHopHeaders() []string {
	return []string{
		"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	}
}

// CopyHeader copies the end-to-end headers: all but the hop-by-hop ones and those
// that the Connection header lists.
func CopyHeader(to, from http.Header) {
	drop := map[string]bool{}
	for _, name := range hopByHopHeaders() {
		drop[name] = true
	}
	for _, value := range from["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			drop[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range from {
		if !drop[name] {
			to[name] = append([]string(nil), values...)
		}
	}
}
