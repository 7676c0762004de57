// Package router holds the configuration that operators publish and maps requests
// to queues. Its values are immutable.
package router

import (
	"strings"
	"time"

	"github.com/endivelock/endivelock/internal/ledger"
)

// Route maps the requests to a host and path prefix to a queue.
type Route struct {
	Host    string
	Prefix  string
	Timeout time.Duration // of one request
	Queue   ledger.Queue
}

// Config is one version of the configuration.
type Config struct {
	Version      int64
	Routes       []Route
	MaxBodyBytes int64 // limit of a request's body, bytes
}

// Match returns the route of a host with the longest matching prefix of a path,
// the rest of the path, and whether there is such a route. It ignores the port
// in host.
func (c Config) Match(host, path string) (Route, string, bool) {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	best := -1
	for i, r := range c.Routes {
		if r.Host == host && strings.HasPrefix(path, r.Prefix) && (best < 0 || len(r.Prefix) > len(c.Routes[best].Prefix)) {
			best = i
		}
	}
	if best < 0 {
		return Route{}, "", false
	}
	r := c.Routes[best]
	return r, path[len(r.Prefix):], true
}
