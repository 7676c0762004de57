// Package loader reads and validates the settings of an entry from YAML. Settings
// are those of an entry that serves requests, Cell those of an entry that
// schedules jobs. Unknown keys are errors. All errors of a file are reported at
// once, each with its line and column, the value found and the values allowed.
package loader

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/endivelock/endivelock/internal/scheduler"
)

// Settings holds the validated settings of an entry that serves requests.
type Settings struct {
	Name     string
	Zone     scheduler.Zone
	Zones    []scheduler.Zone
	Listen   Listen
	Platform string // base URL of the platform's service
	Status   string // path of a backend server's status resource; may be empty
	Memory   int64  // memory of the entry, in megabytes; limits of clients follow from it
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

// Limits holds the limits of an entry. A zero value means the default.
type Limits struct {
	Queue   time.Duration // longest time that a request waits in the queue
	Length  int           // largest number of requests in the queue
	Request time.Duration // longest duration of an exchange with a backend server
	Silence time.Duration // age at which a peer's digest is ignored
	Lease   time.Duration // duration of a lease on a worker
	Drift   time.Duration // largest difference between two clocks
	Lag     time.Duration // longest time by which the platform's list of instances is out of date
	Keep    time.Duration // how long the platform's log keeps records
	Drain   time.Duration // time limit of a drain
	Notice  time.Duration // how long a draining entry still accepts requests
}

// Log holds the level and the format of the log.
type Log struct {
	Level  logrus.Level
	Format string // text or json
}

// Goals are the service-level objectives of the report.
type Goals struct {
	Wait  time.Duration // time within which a request should be placed
	Share float64       // share of the requests for which that should hold
}

// Defaults of optional settings.
const (
	defaultMemory = 320
	defaultDrain  = 30 * time.Second
	defaultNotice = 1500 * time.Millisecond
	defaultWait   = 5 * time.Millisecond
	defaultShare  = 0.99
)

// Default returns the settings that apply where a file does not set a key.
func Default() Settings {
	return Settings{
		Memory: defaultMemory,
		Limits: Limits{Drain: defaultDrain, Notice: defaultNotice},
		Log:    Log{Level: logrus.InfoLevel, Format: formatJSON},
		Goals:  Goals{Wait: defaultWait, Share: defaultShare},
	}
}

// Policy returns the settings that scheduling decisions depend on.
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

// RestartRequired returns the names of the settings that differ in other and that
// take effect only after a restart.
func (s Settings) RestartRequired(other Settings) []string {
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
		{"memory", s.Memory == other.Memory},
	} {
		if !c.same {
			names = append(names, c.name)
		}
	}
	return names
}
