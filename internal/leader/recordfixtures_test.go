package leader

import (
	"fmt"
	"net/http"
	"testing"

	"postpoint/internal/jobrecord"
	"postpoint/internal/kvstore"
	"postpoint/internal/kvstore/storetest"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/protocol"
	"postpoint/internal/rollout"
	"postpoint/internal/settings"
)

// fakeStore is a key-value store that records transactions. The test responds to the last of them with
// respond.
type fakeStore struct {
	storetest.Service
	txns    []protocol.Txn
	respond func(storetest.Reply[protocol.TxnResponse])
}

func (c *fakeStore) Commit(_ kvstore.Priority, t protocol.Txn,
	done func(storetest.Reply[protocol.TxnResponse])) {
	c.txns, c.respond = append(c.txns, t), done
}

func (c *fakeStore) last() protocol.Txn { return c.txns[len(c.txns)-1] }

// readableStore records transactions as fakeStore does, and responds to reads at once.
type readableStore struct {
	fakeStore
	items []protocol.Item // in the responses to list requests
	down  bool            // whether list requests fail
	item  protocol.Item   // in the responses to single reads
	reads int             // number of single reads
}

func (c *readableStore) Get(_ string, done func(storetest.Reply[protocol.Item])) {
	c.reads++
	done(storetest.Reply[protocol.Item]{Status: http.StatusOK, Value: c.item})
}

func (c *readableStore) List(_, _ string, done func(storetest.Reply[protocol.ItemList])) {
	if c.down {
		done(storetest.Reply[protocol.ItemList]{Status: http.StatusServiceUnavailable})
		return
	}
	done(storetest.Reply[protocol.ItemList]{Status: http.StatusOK, Value: protocol.ItemList{Items: c.items}})
}

// committedAt returns the response to a transaction that the store has applied at the given revision.
func committedAt(revision protocol.Revision) storetest.Reply[protocol.TxnResponse] {
	return storetest.Reply[protocol.TxnResponse]{
		Status: http.StatusOK,
		Value:  protocol.TxnResponse{Revision: revision},
	}
}

// conflictOn returns the response to a transaction whose conditions on the given keys don't hold.
func conflictOn(keys ...string) storetest.Reply[protocol.TxnResponse] {
	return storetest.Reply[protocol.TxnResponse]{
		Status: http.StatusConflict,
		Value:  protocol.TxnResponse{Failed: keys},
	}
}

// noResponse returns the reply to a transaction whose outcome is unknown.
func noResponse() storetest.Reply[protocol.TxnResponse] {
	return storetest.Reply[protocol.TxnResponse]{}
}

// resultOf returns the client's typed result for a reply of the store to a transaction.
func resultOf(reply storetest.Reply[protocol.TxnResponse]) kvstore.Result[protocol.Revision] {
	var result kvstore.Result[protocol.Revision]
	store := &fakeStore{}
	client := storetest.Client(store)
	client.Commit(kvstore.PriorityElection, protocol.Txn{},
		func(r kvstore.Result[protocol.Revision]) { result = r })
	store.respond(reply)
	return result
}

// commitAfterPause ends the pause after a failed commit and commits.
func commitAfterPause(l *Leader) {
	l.writer.PauseUntil = 0
	l.writer.Commit()
}

// leaderWithTightLimits returns a leader whose store has announced that it will limit values to 2 KiB
// and transactions to four changes. sharding sets whether every controller reads sharded records.
func leaderWithTightLimits(sharding bool) (*Leader, *fakeStore) {
	l, _ := newLeader()
	valueKb, txnOps := 2.0, 4
	l.state.Settings.Deployment.KVStore = settings.KVStore{Rps: 100, WriteRps: 40, ValueKb: 32, TxnOps: 12,
		Next: &settings.NextKVStore{ValueKb: &valueKb, TxnOps: &txnOps}}
	l.state.Format = rollout.Status{Services: sharding}
	store := &fakeStore{}
	useStore(l, store)
	return l, store
}

// arraySpec returns the spec of an array that has no requirements.
func arraySpec(id protocol.JobID, tasks int) protocol.JobSpec {
	return protocol.JobSpec{ID: id, Shape: protocol.ShapeArray, Priority: "normal", Tasks: tasks}
}

// wideArray returns the record of an array of 300 tasks, each placed on a machine of its own.
func wideArray() *jobrecord.Record {
	content := jobrecord.New(arraySpec("job-1", 300), 1)
	content.NextAttempt = 2
	for task := range content.Spec.Tasks {
		machine := protocol.MachineName(fmt.Sprintf("m-%06d", task))
		content.Placements[task] = jobrecord.Placement{Task: task, Attempt: 1, Machine: machine,
			Incarnation: 1}
	}
	return content
}

// shardedArray returns a leader with a sharded array, whose first task is placed on m-1. The write of
// its shard is in flight.
func shardedArray(t *testing.T) (*Leader, *fakeStore, *jobtable.Job) {
	t.Helper()
	l, store := leaderWithTightLimits(true)
	content := jobrecord.New(arraySpec("job-1", 250), 1)
	content.ShardSize, content.FormatMarked = 100, true
	l.reader.Apply(jobrecord.Key("job-1"), content.Encode(), 5)
	j := l.jobs.ByID["job-1"]
	l.jobs.AddPlacement(j, jobrecord.Placement{Task: 0, Attempt: 1, Machine: "m-1", Incarnation: 1})
	l.writer.Commit()
	return l, store, j
}
