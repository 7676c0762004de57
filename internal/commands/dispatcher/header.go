package dispatcher

import (
	"net/http"
	"strings"
)

// hopHeaders are the headers that concern one connection only (RFC 9110,
// section 7.6.1).
func hopHeaders() []string {
	return []string{
		"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	}
}

// CopyHeader copies the headers that are meant for the other end.
func CopyHeader(to, from http.Header) {
	drop := map[string]bool{}
	for _, name := range hopHeaders() {
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
