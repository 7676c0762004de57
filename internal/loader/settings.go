// Package loader reads the settings of an entry from YAML. It is strict: it
// reports every fault of a file at once, each with its line and column, what
// was found and what is allowed.
package loader

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/endivelock/endivelock/internal/scheduler"
)

// Settings are the checked settings of an entry.
type Settings struct {
	Name     string
	Zone     scheduler.Zone
	Zones    []scheduler.Zone
	Listen   Listen
	Platform string // base URL of the platform's service
	Status   string // path of a backend server's status resource, may be empty
	Limits   Limits
	Log      Log
	Goals    Goals
}

// Listen holds the addresses of the four listeners.
type Listen struct {
	Callers   string
	Operators string
	Peers     string
	Forward   string
}

// Limits bound time and length. The zero value of each means the default.
type Limits struct {
	Queue   time.Duration // longest wait in the queue
	Length  int           // most requests in the queue
	Request time.Duration // longest exchange with a backend server
	Silence time.Duration // age at which a peer's digest no longer counts
	Lease   time.Duration // length of a lease on a worker
	Drift   time.Duration // largest difference between two clocks
	Lag     time.Duration // longest lag of the platform's list
	Keep    time.Duration // how long the platform's log keeps records
	Drain   time.Duration // longest time that a planned stop takes
	Notice  time.Duration // how long a stopping entry still takes requests
}

// Log says how to log.
type Log struct {
	Level  logrus.Level
	Format string // text or json
}

// Goals are the service-level objectives of the report.
type Goals struct {
	Wait  time.Duration // a request is to be placed within this time
	Share float64       // for this share of the requests
}

// Defaults of settings that may be left out.
const (
	defaultDrain  = 30 * time.Second
	defaultNotice = 1500 * time.Millisecond
	defaultWait   = 5 * time.Millisecond
	defaultShare  = 0.99
)

// Default returns the settings that a file is read over.
func Default() Settings {
	return Settings{
		Limits: Limits{Drain: defaultDrain, Notice: defaultNotice},
		Log:    Log{Level: logrus.InfoLevel, Format: formatJSON},
		Goals:  Goals{Wait: defaultWait, Share: defaultShare},
	}
}

// Policy returns the limits that decisions depend on.
func (s Settings) Policy() scheduler.Policy {
	return scheduler.Policy{
		QueueWait:    s.Limits.Queue,
		QueueLength:  s.Limits.Length,
		RequestLimit: s.Limits.Request,
		Silence:      s.Limits.Silence,
		Lease:        s.Limits.Lease,
		Drift:        s.Limits.Drift,
		ListLag:      s.Limits.Lag,
		Retention:    s.Limits.Keep,
		Zones:        s.Zones,
	}
}

// Restart returns the names of the settings that differ in other and take
// effect only after a restart.
func (s Settings) Restart(other Settings) []string {
	var names []string
	for _, c := range []struct {
		name string
		same bool
	}{
		{"name", s.Name == other.Name},
		{"zone", s.Zone == other.Zone},
		{"listen", s.Listen == other.Listen},
		{"platform", s.Platform == other.Platform},
		{"servers.status", s.Status == other.Status},
	} {
		if !c.same {
			names = append(names, c.name)
		}
	}
	return names
}
