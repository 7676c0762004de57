// Package authenticator decides whose requests are carried out: it checks their keys against
// the configuration, and whether that was read recently enough to do so.
package authenticator

import (
	"time"

	"github.com/endivelock/endivelock/internal/ledger"
	"github.com/endivelock/endivelock/internal/router"
)

// Policy bounds the age at which a configuration may be used.
type Policy struct {
	// Revoke is the time after the publication of a version from which a key that it revokes
	// must not be served; 0 if keys are served however old the configuration is.
	Revoke time.Duration
	// Apply is the time after the publication of a version from which a request must not be
	// refused by an older one; 0 if requests are refused however old it is.
	Apply time.Duration
}

// clockErrorShare bounds the error of a clock's rate: 1 in 50. Ages are measured on the clock
// of an entry, the limits hold in true time.
const clockErrorShare = 50

// within reports whether an age is certainly below a limit. No limit is 0.
func within(age, limit time.Duration) bool {
	return limit == 0 || age < limit-limit/clockErrorShare
}

// Verdict is what becomes of a request.
type Verdict int

// The verdicts.
const (
	Undecided Verdict = iota // the configuration is missing or too old to tell
	Unknown                  // the key belongs to no workspace
	Admitted
)

// String returns the verdict as it appears in logs and metrics.
func (v Verdict) String() string { return [...]string{"undecided", "unknown", "admitted"}[v] }

// Decision is the verdict about a request and what it rests on.
type Decision struct {
	Verdict   Verdict
	Workspace ledger.Workspace // that the request counts against; without a name if it counts against none
	Version   int64            // of the configuration
	Age       time.Duration    // of the configuration; negative if it was never confirmed
	Recent    bool             // whether a request may be refused by this version
}

// Reading is the configuration in force and when a read last confirmed it. Times are readings
// of one clock that also counts while the machine is suspended. Readings are immutable; the
// zero value has no configuration.
type Reading struct {
	config    router.Config
	owners    map[router.KeyHash]int // index of the workspace by key; not written after it was built
	exists    bool
	sent      time.Duration
	confirmed bool
}

// Config returns the configuration, if there is one.
func (r Reading) Config() (router.Config, bool) { return r.config, r.exists }

// WithConfig returns a reading with another version of the configuration.
func (r Reading) WithConfig(c router.Config) Reading {
	r.config, r.exists = c, true
	r.owners = make(map[router.KeyHash]int)
	for i, w := range c.Workspaces {
		for _, key := range w.Keys {
			r.owners[key] = i
		}
	}
	return r
}

// WithConfirmation returns a reading that is confirmed by a read that was sent at a time: at
// that time, no version was newer.
func (r Reading) WithConfirmation(sent time.Duration) Reading {
	if !r.confirmed || sent > r.sent {
		r.sent, r.confirmed = sent, true
	}
	return r
}

// unconfirmed is the age of a configuration that no read has confirmed.
const unconfirmed = -time.Millisecond

// Age returns the time since the read was sent that confirmed the configuration last, or a
// negative time if none did.
func (r Reading) Age(now time.Duration) time.Duration {
	if !r.exists || !r.confirmed {
		return unconfirmed
	}
	return max(now-r.sent, 0)
}

// Judges reports whether requests with keys can be decided: there are no keys, or the
// configuration is recent enough to serve those that it has.
func (r Reading) Judges(p Policy, now time.Duration) bool {
	if len(r.config.Workspaces) == 0 {
		return r.exists
	}
	age := r.Age(now)
	return p.Revoke == 0 || age >= 0 && within(age, p.Revoke)
}

// Judge decides a request with a key on a route. A request without a key has the zero hash.
func (r Reading) Judge(p Policy, key router.KeyHash, public bool, now time.Duration) Decision {
	d := Decision{Version: r.config.Version, Age: r.Age(now)}
	d.Recent = p.Apply == 0 || d.Age >= 0 && within(d.Age, p.Apply)
	if !r.exists {
		return d
	}
	if public || len(r.config.Workspaces) == 0 {
		d.Verdict = Admitted
		return d
	}
	if !r.Judges(p, now) {
		return d
	}
	owner, known := r.owners[key]
	switch {
	case known:
		d.Verdict, d.Workspace = Admitted, r.config.Workspaces[owner].Workspace
	case d.Recent:
		d.Verdict = Unknown
	}
	return d
}
