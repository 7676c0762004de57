package scheduler

import "time"

// Default values of Policy.
const (
	defaultQueueWait       = 2 * time.Second
	defaultQueueLength     = 2048
	defaultRequestLimit    = 30 * time.Second
	defaultSilence         = 1500 * time.Millisecond
	defaultRefusalGap      = 300 * time.Millisecond
	defaultDiscoveryPeriod = 1 * time.Second
	defaultListLag         = 30 * time.Second
	defaultLease           = 6 * time.Second
	defaultDrift           = 500 * time.Millisecond
	defaultRetention       = 24 * time.Hour
	defaultTranches        = 16
	defaultHops            = 2
)

// Policy holds the limits that decisions depend on. The zero value works: a
// field that is zero has the default.
type Policy struct {
	QueueWait       time.Duration // longest time in the queue
	QueueLength     int           // largest number of requests in the queue
	RequestLimit    time.Duration // longest exchange with a server
	Silence         time.Duration // age at which a digest is stale
	RefusalGap      time.Duration // shortest time between two refused connections that prove a death
	DiscoveryPeriod time.Duration // time after the start in which peers are discovered
	ListLag         time.Duration // longest lag of the platform's list
	Lease           time.Duration // length of a lease on a worker
	Drift           time.Duration // largest difference between two clocks
	Retention       time.Duration // how long the log keeps a record
	Tranches        int           // number of parts into which the allowances of a zone are split
	Hops            int           // largest number of forwards of one request
	Zones           []Zone        // all zones, the same at every entry
}

func (p Policy) withDefaults() Policy {
	p.QueueWait = orDuration(p.QueueWait, defaultQueueWait)
	p.QueueLength = orInt(p.QueueLength, defaultQueueLength)
	p.RequestLimit = orDuration(p.RequestLimit, defaultRequestLimit)
	p.Silence = orDuration(p.Silence, defaultSilence)
	p.RefusalGap = orDuration(p.RefusalGap, defaultRefusalGap)
	p.DiscoveryPeriod = orDuration(p.DiscoveryPeriod, defaultDiscoveryPeriod)
	p.ListLag = orDuration(p.ListLag, defaultListLag)
	p.Lease = orDuration(p.Lease, defaultLease)
	p.Drift = orDuration(p.Drift, defaultDrift)
	p.Retention = orDuration(p.Retention, defaultRetention)
	p.Tranches = orInt(p.Tranches, defaultTranches)
	p.Hops = orInt(p.Hops, defaultHops)
	return p
}

// WithZones returns the policy for a set of zones.
func (p Policy) WithZones(zones ...Zone) Policy {
	p.Zones = zones
	return p
}

func orDuration(d, other time.Duration) time.Duration {
	if d == 0 {
		return other
	}
	return d
}

func orInt(n, other int) int {
	if n == 0 {
		return other
	}
	return n
}

// zoneShare returns the share of a zone in a total granted over all zones.
func (p Policy) zoneShare(total int64, z Zone) int64 {
	for i, other := range p.zones(z) {
		if other == z {
			return share(total, i, len(p.zones(z)))
		}
	}
	return 0
}

func (p Policy) zoneShareSize(total Size, z Zone) Size {
	return Size{
		CPU:          p.zoneShare(total.CPU, z),
		Memory:       p.zoneShare(total.Memory, z),
		Accelerators: p.zoneShare(total.Accelerators, z),
	}
}

func (p Policy) zones(own Zone) []Zone {
	if len(p.Zones) == 0 {
		return []Zone{own}
	}
	return p.Zones
}
