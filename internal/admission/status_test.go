package admission

import (
	"testing"

	"postpoint/internal/actor/actortest"
	"postpoint/internal/clock"
	"postpoint/internal/jobrecord"
	"postpoint/internal/kvstore"
	"postpoint/internal/protocol"
	"postpoint/internal/settings"
)

// countingStore counts the lists of shards.
type countingStore struct {
	*fakeStore
	lists int
}

func (s *countingStore) List(prefix, from string, done func(kvstore.Result[protocol.ItemList])) {
	if prefix != probeKey {
		s.lists++
	}
	s.fakeStore.List(prefix, from, done)
}

// Users who ask for a sharded job again and again must not cost the store a list of its shards each time. The
// counts in a response may be a second old, but a final status is never delayed by them.
func TestShardsAreNotReadForEachQuestion(t *testing.T) {
	const id = "job-000412"
	head := jobrecord.New(protocol.JobSpec{ID: id, Shape: protocol.ShapeArray, Tasks: 4}, 1)
	head.ShardSize, head.FormatMarked = 2, true
	store := &countingStore{fakeStore: &fakeStore{values: map[string][]byte{jobrecord.Key(id): head.Encode()}}}
	mailbox := &actortest.SynchronousMailbox{Now: clock.Second}
	adm := New(mailbox, store, &settings.Settings{}, nil)
	ask := func() string {
		var status protocol.JobStatus
		if err := protocol.Decode(responseOf(t, adm, Request{Kind: GetStatus, ID: id}).Body, &status); err != nil {
			t.Fatal(err)
		}
		return status.Status
	}
	for range 20 {
		ask()
		mailbox.Now += shardedStatusAge / 20
	}
	if store.lists != 1 {
		t.Errorf("%d lists of the shards within a second, want 1", store.lists)
	}
	mailbox.Now += shardedStatusAge
	if ask(); store.lists != 2 {
		t.Errorf("%d lists of the shards after a second, want 2", store.lists)
	}
	head.Status = protocol.StatusCancelled
	store.values[jobrecord.Key(id)] = head.Encode()
	if status := ask(); status != protocol.StatusCancelled {
		t.Errorf("status %q right after the cancellation, want %q", status, protocol.StatusCancelled)
	}
}
