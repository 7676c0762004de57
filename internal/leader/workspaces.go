package leader

import (
	"github.com/endivelock/endivelock/internal/container"
	"github.com/endivelock/endivelock/internal/ledger"
)

// workspaces are the workspaces of the newest version of the configuration that is known.
type workspaces struct {
	version int64
	known   container.Table[ledger.Workspace] // by name
}

func (e WorkspacesChanged) apply(t *transition) {
	if e.Version <= t.workspaces.version {
		return
	}
	t.workspaces = workspaces{version: e.Version}
	for _, w := range e.Workspaces {
		t.workspaces.known = t.workspaces.known.With(w.Name, w)
	}
	t.changeCaps(e)
	t.placementDue = true
}
