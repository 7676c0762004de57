package linker

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/endivelock/endivelock/internal/ledger"
	"github.com/endivelock/endivelock/internal/replicator"
)

// Add asks the leader to add a value to the stream of jobs and returns when it is
// in the log. The cause of an error is classifier.ErrCongested if the leader has answered
// that it waits for the log.
func (l *Linker) Add(ctx context.Context, v replicator.Value) error {
	bounded, cancel := context.WithTimeout(ctx, writeTimeout+writeMargin)
	defer cancel()
	return l.callLeader(bounded, methodWrite, writeMessage{Name: v.Name, Data: v.Data}, nil)
}

// Submit is Add for a job. The leader may turn it away with an error of kind
// classifier.BeyondShare or with the cause classifier.ErrCongested.
func (l *Linker) Submit(ctx context.Context, v replicator.Value, c ledger.Claim) error {
	bounded, cancel := context.WithTimeout(ctx, writeTimeout+writeMargin)
	defer cancel()
	claim := claimMessage(c)
	return l.callLeader(bounded, methodWrite, writeMessage{Name: v.Name, Data: v.Data, Claim: &claim}, nil)
}

// retryAfter returns when a refused write should be tried again.
func retryAfter(failed *jsonrpc2.Error) time.Duration {
	var f refusal
	if failed.Data == nil || json.Unmarshal(*failed.Data, &f) != nil {
		return 0
	}
	return f.RetryAfter
}
