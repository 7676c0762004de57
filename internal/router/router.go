// Package router holds the configuration that operators publish and maps requests
// to queues. Its values are immutable.
package router

import (
	"crypto/sha256"
	"strings"
	"time"

	"github.com/endivelock/endivelock/internal/ledger"
)

// Route maps the requests to a host and path prefix to a queue.
type Route struct {
	Host    string
	Prefix  string
	Timeout time.Duration // of one request
	Public  bool          // requests need no key and count against no workspace
	Queue   ledger.Queue
}

// KeyHash is the SHA-256 hash of a key. The keys themselves are secrets and are not kept.
type KeyHash [sha256.Size]byte

// Hash returns the hash of a key.
func Hash(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Workspace is a workspace and the keys that requests on its behalf carry.
type Workspace struct {
	ledger.Workspace
	Keys []KeyHash
}

// Limits are the limits of what a client may send.
type Limits struct {
	HeaderBytes   int64         // size of the head of a request; 0 for the default
	BodyBytes     int64         // size of its body; 0 for the default
	HeaderTimeout time.Duration // time to send the head; 0 for the default
	IdleTimeout   time.Duration // time without a request on a connection; 0 for the default
}

// Service is a service whose workers run tasks. Entries learn of services from their workers and
// decode none; the check of a configuration does.
type Service struct {
	Name           string
	HealthPath     string
	Connections    float64 // most connections to a worker
	Protocol       string
	TLS            bool
	AdmissionCheck bool
	Spare          bool
}

// Config is one version of the configuration.
type Config struct {
	Version    int64
	Routes     []Route
	Services   []Service   // only in a configuration that is checked before it is sent
	Workspaces []Workspace // none if requests need no keys
	Limits     Limits
}

// Accounts returns the workspaces without their keys.
func (c Config) Accounts() []ledger.Workspace {
	accounts := make([]ledger.Workspace, 0, len(c.Workspaces))
	for _, w := range c.Workspaces {
		accounts = append(accounts, w.Workspace)
	}
	return accounts
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
