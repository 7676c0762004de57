package lister_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/queries/lister"
	"github.com/endivelock/endivelock/internal/scheduler"
	"github.com/endivelock/endivelock/pkg/messenger"
)

type fakeViewer struct{ state scheduler.State }

func (v fakeViewer) Snapshot() scheduler.State { return v.state }

func get(t *testing.T, s scheduler.State, path string, response any) *httptest.ResponseRecorder {
	t.Helper()
	mux := http.NewServeMux()
	(&lister.Lister{Viewer: fakeViewer{s}, Now: func() time.Time { return time.Unix(60, 0) }}).Routes(mux)
	w := httptest.NewRecorder()
	mux.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	if response != nil {
		assert.NilError(t, json.Unmarshal(w.Body.Bytes(), response))
	}
	return w
}

func state() scheduler.State {
	s := scheduler.New(scheduler.Entry{ID: scheduler.EntryID{Name: "a", Incarnation: 1}, Zone: "z"}, scheduler.Policy{}, time.Unix(0, 0))
	for _, e := range []scheduler.Event{
		scheduler.RecordsRead{Stream: scheduler.ConfigStream, First: 1, Next: 3, Records: []scheduler.ReadRecord{
			{Offset: 1, Record: scheduler.ListRecord{List: scheduler.ListPlans, Nonce: "n", Plans: []scheduler.Plan{{Name: "p"}}}},
			{Offset: 2, Record: scheduler.MarkRecord{Instance: "s", Mark: scheduler.MarkLeave}},
		}},
		scheduler.InstancesListed{Instances: []scheduler.Instance{{Kind: scheduler.KindServer, Name: "s", Zone: "z", Slots: 4}}},
		scheduler.RecordsRead{Stream: scheduler.ZoneStream("z"), First: 1, Next: 2, Records: []scheduler.ReadRecord{
			{Offset: 1, Record: scheduler.ClaimRecord{Resource: "server/s", Owner: scheduler.EntryID{Name: "b", Incarnation: 7}, Acquire: true}},
			{Offset: 1, Record: scheduler.SubmitRecord{Work: scheduler.Work{ID: "w", Kind: scheduler.ItemDeferred, Plan: "p"}}},
		}},
	} {
		s, _ = s.Apply(e, time.Unix(50, 0))
	}
	return s
}

func TestListsHaveTheirVersionAsETag(t *testing.T) {
	var plans messenger.Plans
	w := get(t, state(), "/plans", &plans)
	assert.Equal(t, w.Header().Get("ETag"), `"1"`)
	assert.Equal(t, plans.Plans[0].Name, "p")
	w = get(t, scheduler.State{}, "/allowances", nil)
	assert.Equal(t, w.Header().Get("ETag"), `"0"`)
}

func TestServersShowOwnerAndMark(t *testing.T) {
	var response struct{ Servers []messenger.ServerStatus }
	get(t, state(), "/servers", &response)
	assert.DeepEqual(t, response.Servers, []messenger.ServerStatus{
		{Name: "s", Kind: "server", Owner: "b#7", Epoch: 1, State: "marked-leave", Slots: 4},
	})
}

func TestEntryWithoutHeartbeatHasNoAge(t *testing.T) {
	var response struct{ Entries []messenger.EntryStatus }
	get(t, state(), "/entries", &response)
	assert.Equal(t, response.Entries[0].ID, "b#7")
	assert.Equal(t, response.Entries[0].Age, -1.0)
}

func TestWork(t *testing.T) {
	var status messenger.WorkStatus
	get(t, state(), "/work/w", &status)
	assert.Equal(t, status.Phase, "pending")
	assert.Assert(t, !status.Ended())
	assert.Equal(t, get(t, state(), "/work/none", nil).Code, http.StatusNotFound)
}
