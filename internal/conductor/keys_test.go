package conductor_test

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/endivelock/endivelock/internal/authenticator"
	"github.com/endivelock/endivelock/internal/conductor"
	"github.com/endivelock/endivelock/internal/emulator"
	"github.com/endivelock/endivelock/internal/ledger"
	"github.com/endivelock/endivelock/internal/loader"
	"github.com/endivelock/endivelock/internal/replicator"
	"github.com/endivelock/endivelock/internal/router"
)

const (
	keyRevoke = 3 * time.Second
	keyApply  = 1500 * time.Millisecond
)

// keyedPlatform decodes configurations in the form of router.Config.
type keyedPlatform struct{ *emulator.LogClient }

func (keyedPlatform) Config(data []byte) (router.Config, error) {
	var c router.Config
	err := json.Unmarshal(data, &c)
	if err == nil && c.Version == 0 {
		err = errors.New("no version")
	}
	return c, err
}

// keyedEntry is an entry on a log with a configuration that has keys.
type keyedEntry struct {
	*member
	offset atomic.Int64 // added to its clock
}

func startKeyed(t *testing.T, name string, l *emulator.Log) *keyedEntry {
	t.Helper()
	k := &keyedEntry{}
	port := &emulator.LogClient{Log: l}
	s := loader.Cell{Name: name, Zone: "z", Lease: 6 * time.Second, Grace: 2 * time.Second, Keep: time.Minute, Share: 1, Memory: 100, Strict: true, Revoke: loader.Milliseconds(keyRevoke.Milliseconds()), Apply: loader.Milliseconds(keyApply.Milliseconds())}
	k.member = startCell(t, s, port, conductor.Ports{Platform: keyedPlatform{port}, Workers: &emulator.Cell{}}, func(e *conductor.Entry) {
		clock := e.Clock
		e.Clock = func() time.Duration { return clock() + time.Duration(k.offset.Load()) }
	})
	return k
}

// publish appends a version with the keys of one workspace.
func (k *keyedEntry) publish(t *testing.T, version int64, keys ...string) {
	t.Helper()
	c := router.Config{Version: version, Workspaces: []router.Workspace{{Workspace: ledger.Workspace{Name: "a"}}}}
	for _, key := range keys {
		c.Workspaces[0].Keys = append(c.Workspaces[0].Keys, router.Hash(key))
	}
	data, err := json.Marshal(c)
	assert.NilError(t, err)
	k.publishRaw(t, data)
}

func (k *keyedEntry) publishRaw(t *testing.T, data []byte) {
	t.Helper()
	_, err := k.port.Log.Append(context.Background(), replicator.Append{Stream: "op", Values: []replicator.Value{{Name: "config", Data: data}}})
	assert.NilError(t, err)
}

// judged waits until a key has a verdict.
func (k *keyedEntry) judged(t *testing.T, key string, want authenticator.Verdict, within time.Duration) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		d := k.Judge(router.Hash(key), false)
		if d.Verdict == want {
			return poll.Success()
		}
		return poll.Continue("key is %v by version %d of age %v", d.Verdict, d.Version, d.Age)
	}, poll.WithTimeout(within), poll.WithDelay(5*time.Millisecond))
}

// An entry that is cut off from the log can't know that a key was revoked, so it must stop
// serving the key in time. It must not call an added key unknown either.
func TestKeysOfAnEntryThatIsCutOff(t *testing.T) {
	k := startKeyed(t, "e0", &emulator.Log{})
	k.publish(t, 1, "stays", "goes")
	k.judged(t, "goes", authenticator.Admitted, 5*time.Second)
	k.port.SetCut(true)
	published := time.Now()
	k.publish(t, 2, "stays", "added")
	for time.Since(published) < keyRevoke+500*time.Millisecond {
		before := time.Since(published)
		goes, added := k.Judge(router.Hash("goes"), false), k.Judge(router.Hash("added"), false)
		assert.Assert(t, before <= keyRevoke || goes.Verdict == authenticator.Undecided, "served %v after it was revoked", before)
		assert.Assert(t, before <= keyApply || added.Verdict != authenticator.Unknown, "unknown %v after it was added", before)
		time.Sleep(5 * time.Millisecond)
	}
	assert.Equal(t, k.Judge(router.Hash("goes"), true).Verdict, authenticator.Admitted, "public routes go on")
	k.port.SetCut(false)
	k.judged(t, "goes", authenticator.Unknown, 5*time.Second)
	k.judged(t, "added", authenticator.Admitted, time.Second)
}

// The time of a suspension counts, even if no timer has fired since.
func TestKeysAfterASuspension(t *testing.T) {
	k := startKeyed(t, "e0", &emulator.Log{})
	k.publish(t, 1, "known")
	k.judged(t, "known", authenticator.Admitted, 5*time.Second)
	k.port.SetCut(true)
	k.offset.Store(int64(keyRevoke))
	assert.Equal(t, k.Judge(router.Hash("known"), false).Verdict, authenticator.Undecided)
	k.port.SetCut(false)
	k.judged(t, "known", authenticator.Admitted, 5*time.Second)
}

// A version that can't be decoded may have revoked any key, however often the log answers
// after it.
func TestKeysAfterAnInvalidConfiguration(t *testing.T) {
	k := startKeyed(t, "e0", &emulator.Log{})
	k.publish(t, 1, "known")
	k.judged(t, "known", authenticator.Admitted, 5*time.Second)
	k.publishRaw(t, []byte("{"))
	k.judged(t, "known", authenticator.Undecided, keyRevoke+time.Second)
	time.Sleep(1200 * time.Millisecond) // longer than a read waits
	assert.Equal(t, k.Judge(router.Hash("known"), false).Verdict, authenticator.Undecided)
	k.publish(t, 3, "known")
	k.judged(t, "known", authenticator.Admitted, 5*time.Second)
}

// ready waits until an entry is ready, or is not.
func (k *keyedEntry) ready(t *testing.T, want bool, within time.Duration) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		got, why := k.Available()
		if got == want {
			return poll.Success()
		}
		return poll.Continue("ready is %v: %s", got, why)
	}, poll.WithTimeout(within), poll.WithDelay(5*time.Millisecond))
}

// Callers with keys are better served elsewhere than at an entry that is cut off alone. If the
// log answers nobody, there is nothing better, and some callers need no key.
func TestReadinessWithoutARecentConfiguration(t *testing.T) {
	l := &emulator.Log{}
	first, other := startKeyed(t, "e0", l), startKeyed(t, "e1", l)
	first.publish(t, 1, "known")
	first.ready(t, true, 10*time.Second)
	other.ready(t, true, 10*time.Second)
	if leads(t, []*member{first.member, other.member}, 5*time.Second) == other.member {
		first, other = other, first
	}
	other.port.SetCut(true)
	other.ready(t, false, keyRevoke+2*time.Second)
	first.ready(t, true, time.Second)
	other.port.SetCut(false)
	other.ready(t, true, 5*time.Second)

	first.port.SetCut(true)
	other.port.SetCut(true)
	other.judged(t, "known", authenticator.Undecided, keyRevoke+time.Second)
	other.ready(t, true, 2*time.Second)
	for range 100 {
		ready, why := other.Available()
		assert.Assert(t, ready, why)
		time.Sleep(10 * time.Millisecond)
	}
}
