package scheduler

import (
	"strconv"
	"time"
)

// EntryID identifies one incarnation of an entry. A restarted process has the
// same name and a higher incarnation.
type EntryID struct {
	Name        string `json:"name"`
	Incarnation int64  `json:"incarnation"`
}

// String returns the form used as a key and in logs.
func (e EntryID) String() string {
	return e.Name + "#" + strconv.FormatInt(e.Incarnation, 10)
}

// Entry is one incarnation of an entry with its addresses.
type Entry struct {
	ID      EntryID `json:"id"`
	Zone    Zone    `json:"zone"`
	Peer    string  `json:"peer"`    // address of the jsonrpc2 listener
	Forward string  `json:"forward"` // address for requests from other entries
}

// Digest is the state of an entry that it gossips to its peers.
type Digest struct {
	Entry    Entry `json:"entry"`
	Config   int64 `json:"config"`   // offset of the configuration in force
	Acked    int64 `json:"acked"`    // offset in the zone's stream, see State.acked
	Free     int   `json:"free"`     // free slots on held servers
	Queue    int   `json:"queue"`    // requests waiting
	Foreign  int   `json:"foreign"`  // slots held by requests of earlier owners
	Ready    bool  `json:"ready"`    // serves callers and may own resources
	Draining bool  `json:"draining"` // hands over what it holds
}

// Member is what this entry knows of another entry.
type Member struct {
	Digest        Digest
	Heard         time.Time // when the last digest arrived
	Refused       time.Time // when its address first refused a connection, zero if it was heard since
	Probed        time.Time // when the last probe was sent
	Dead          bool      // proven never to act again
	Listed        bool      // has been on the platform's list
	UnlistedSince time.Time // since when it is not on that list, zero if it is
}

// WithDigest returns the member after a digest from it.
func (m Member) WithDigest(d Digest, now time.Time) Member {
	m.Digest = d
	m.Heard = now
	m.Refused = time.Time{}
	return m
}

// WithFree returns the member with another number of slots assumed to be free.
func (m Member) WithFree(n int) Member {
	m.Digest.Free = max(0, n)
	return m
}

// WithRefused returns the member after its address refused a connection.
func (m Member) WithRefused(at time.Time) Member {
	m.Refused = at
	return m
}

// WithProbed returns the member after a probe was sent to it.
func (m Member) WithProbed(at time.Time) Member {
	m.Probed = at
	return m
}

// WithDead returns the member marked as proven never to act again.
func (m Member) WithDead() Member {
	m.Dead = true
	return m
}

// WithListed returns the member after the platform's list was read.
func (m Member) WithListed(present bool, now time.Time) Member {
	switch {
	case present:
		m.Listed = true
		m.UnlistedSince = time.Time{}
	case m.UnlistedSince.IsZero():
		m.UnlistedSince = now
	}
	return m
}

// Usable reports whether work may be sent to the member.
func (m Member) Usable(now time.Time, silence time.Duration) bool {
	return !m.Dead && m.Digest.Ready && !m.Digest.Draining && now.Sub(m.Heard) <= silence
}
