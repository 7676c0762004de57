package linker_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/classifier"
	"github.com/endivelock/endivelock/internal/keeper"
	"github.com/endivelock/endivelock/internal/ledger"
	"github.com/endivelock/endivelock/internal/replicator"
)

// gate refuses the jobs of a workspace and keeps the last claim.
type gate struct {
	refused string
	id      ledger.ID
	claim   ledger.Claim
}

func (g *gate) Admit(id ledger.ID, c ledger.Claim) error {
	g.id, g.claim = id, c
	if c.Workspace == g.refused {
		return &classifier.Error{Kind: classifier.BeyondShare, RetryAfter: 3 * time.Second}
	}
	return nil
}

func (g *gate) Withdraw(ledger.ID) {}

// The leader judges a job by its claim before it writes anything, and the entry learns when
// the job may come again. Other values are not judged.
func TestTheLeaderJudgesClaims(t *testing.T) {
	lead, follower := start(t, "lead"), start(t, "follower")
	g := &gate{refused: "hot"}
	lead.link.Gate = g
	lead.becomeLeader(9)
	follower.Submit(keeper.LeaderLearned{Lead: lead.Snapshot().Lead()})
	follower.await(t, "the entry is linked", func(e keeper.Event) bool {
		_, ok := e.(keeper.LinkEstablished)
		return ok
	})
	ctx, v := context.Background(), replicator.Value{Name: "j"}
	claim := ledger.Claim{Workspace: "hot", Priority: 2, Chain: time.Second, Limit: time.Minute}
	err := follower.link.Submit(ctx, v, claim)
	assert.Equal(t, classifier.KindOf(err), classifier.BeyondShare)
	assert.Equal(t, classifier.RetryAfter(err), 3*time.Second)
	assert.Equal(t, g.id, ledger.ID("j"))
	assert.Equal(t, g.claim, claim)
	claim.Workspace = "other"
	assert.NilError(t, follower.link.Submit(ctx, v, claim))
	g.claim = ledger.Claim{}
	assert.NilError(t, follower.link.Add(ctx, v))
	assert.Equal(t, g.claim, ledger.Claim{})
}
