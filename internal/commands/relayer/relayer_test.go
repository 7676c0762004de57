package relayer_test

import (
	"context"
	"testing"

	"github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/classifier"
	"github.com/endivelock/endivelock/internal/commands/relayer"
	"github.com/endivelock/endivelock/internal/replicator"
)

// way answers appends with an error, or takes them.
type way struct {
	fail  error
	calls int
}

func (w *way) Append(context.Context, replicator.Append) (replicator.Position, error) {
	w.calls++
	return replicator.Position{First: 7}, w.fail
}

func failure(k classifier.Kind) error { return &classifier.Error{Kind: k} }

func TestAppendsByWayOfOthers(t *testing.T) {
	leader := replicator.Append{Stream: "runs", Writer: "leader", Epoch: 3, Sequence: 1}
	plain := replicator.Append{Stream: "jobs"}
	for name, c := range map[string]struct {
		append      replicator.Append
		own, others error
		asks        int // of others
		want        error
	}{
		"own way answers":                      {leader, nil, nil, 0, nil},
		"own way is busy":                      {leader, failure(classifier.Busy), nil, 1, nil},
		"own way is silent":                    {leader, failure(classifier.Unanswered), nil, 1, nil},
		"own way cannot be opened":             {plain, failure(classifier.Unsent), nil, 1, nil},
		"no sequence number tells a repeat":    {plain, failure(classifier.Unanswered), nil, 0, failure(classifier.Unanswered)},
		"the log has shut the writer out":      {leader, failure(classifier.Fenced), nil, 0, failure(classifier.Fenced)},
		"others hear that it is shut out":      {leader, failure(classifier.Busy), failure(classifier.Fenced), 1, failure(classifier.Fenced)},
		"others do not reach the log either":   {leader, failure(classifier.Busy), failure(classifier.Unsent), 1, failure(classifier.Busy)},
		"the log does not end where it should": {plain, failure(classifier.Moved), nil, 0, failure(classifier.Moved)},
	} {
		t.Run(name, func(t *testing.T) {
			logger, _ := test.NewNullLogger()
			own, others := &way{fail: c.own}, &way{fail: c.others}
			r := relayer.Relayer{Own: own, Others: others, Logger: logger}
			_, err := r.Append(context.Background(), c.append)
			assert.Equal(t, others.calls, c.asks)
			if c.want == nil {
				assert.NilError(t, err)
				return
			}
			assert.Equal(t, classifier.KindOf(err), classifier.KindOf(c.want))
		})
	}
}

// While the own way is bad, appends do not wait for it each time.
func TestADetourSparesTheOwnWay(t *testing.T) {
	logger, _ := test.NewNullLogger()
	own, others := &way{fail: failure(classifier.Unanswered)}, &way{}
	r := relayer.Relayer{Own: own, Others: others, Logger: logger}
	for range 5 {
		_, err := r.Append(context.Background(), replicator.Append{Writer: "leader"})
		assert.NilError(t, err)
	}
	assert.Equal(t, own.calls, 1)
	assert.Equal(t, others.calls, 5)
	others.fail, own.fail = failure(classifier.Unsent), nil
	_, err := r.Append(context.Background(), replicator.Append{Writer: "leader"})
	assert.NilError(t, err)
	assert.Equal(t, own.calls, 2)
}
