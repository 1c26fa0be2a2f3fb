package election

import (
	"slices"
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/kvstore"
	"postpoint/internal/protocol"
)

// manualMailbox is a mailbox that advances its clock and handles delayed messages when the test says so.
type manualMailbox struct {
	now     clock.Micros
	delayed []func()
}

func (m *manualMailbox) Monotonic() clock.Micros              { return m.now }
func (m *manualMailbox) TimeOfDay() clock.Micros              { return m.now }
func (m *manualMailbox) Post(message func())                  { message() }
func (m *manualMailbox) After(_ clock.Micros, message func()) { m.delayed = append(m.delayed, message) }

// advance advances the clock and handles all delayed messages, whatever their delay.
func (m *manualMailbox) advance(d clock.Micros) {
	m.now += d
	due := m.delayed
	m.delayed = nil
	for _, message := range due {
		message()
	}
}

// pendingStore is a fake key-value store that grants leases at once and leaves all other requests
// pending until the test responds.
type pendingStore struct {
	kvstore.Store
	leases  protocol.LeaseID
	get     func(kvstore.Result[protocol.Item])
	commit  func(kvstore.Result[protocol.Revision])
	watch   func(kvstore.Result[protocol.WatchResponse])
	renew   func(error)
	txns    []protocol.Txn
	renewed []protocol.LeaseID
}

func (s *pendingStore) Get(_ string, done func(kvstore.Result[protocol.Item])) { s.get = done }
func (s *pendingStore) Grant(_ clock.Micros, done func(kvstore.Result[protocol.LeaseID])) {
	s.leases++
	done(kvstore.Result[protocol.LeaseID]{Value: s.leases})
}
func (s *pendingStore) Commit(_ kvstore.Priority, t protocol.Txn,
	done func(kvstore.Result[protocol.Revision])) {
	s.txns, s.commit = append(s.txns, t), done
}
func (s *pendingStore) Renew(lease protocol.LeaseID, done func(error)) {
	s.renewed, s.renew = append(s.renewed, lease), done
}
func (s *pendingStore) Watch(_ string, _ protocol.Revision, _ clock.Micros,
	done func(kvstore.Result[protocol.WatchResponse])) {
	s.watch = done
}

// keyIs responds to the read of the leader's key.
func (s *pendingStore) keyIs(value []byte, version protocol.Revision) {
	s.get(kvstore.Result[protocol.Item]{Value: protocol.Item{Key: LeaderKey, Value: value, Version: version}})
}

// keyIsAbsent responds that there is no leader's key.
func (s *pendingStore) keyIsAbsent() {
	s.get(kvstore.Result[protocol.Item]{Err: kvstore.ErrNotFound})
}

// commitsAt responds that the store applied the transaction at a revision.
func (s *pendingStore) commitsAt(r protocol.Revision) {
	s.commit(kvstore.Result[protocol.Revision]{Value: r})
}

// commitFails responds to the transaction with an error.
func (s *pendingStore) commitFails(err error) {
	s.commit(kvstore.Result[protocol.Revision]{Err: err})
}

// candidateFixture is a started candidate with the term and the leaders that it has published.
type candidateFixture struct {
	*Candidate
	mailbox *manualMailbox
	store   *pendingStore
	term    Term
	leader  []string // all announced leaders, in order
}

// newCandidate returns a started candidate named n.
func newCandidate() *candidateFixture {
	x := &candidateFixture{mailbox: &manualMailbox{now: clock.Second}, store: &pendingStore{}}
	x.Candidate = New(x.mailbox, x.store, Config{Node: "n", Incarnation: "this", TTL: 4 * clock.Second},
		func(t Term) { x.term = t }, func(node string) { x.leader = append(x.leader, node) })
	x.Start()
	return x
}

// newLeader returns a candidate that leads with epoch 5.
func newLeader() *candidateFixture {
	x := newCandidate()
	x.store.keyIsAbsent()
	x.store.commitsAt(5)
	return x
}

// expectEpoch checks the epoch of the published term.
func (x *candidateFixture) expectEpoch(t *testing.T, epoch protocol.Epoch) {
	t.Helper()
	if x.term.Epoch != epoch {
		t.Fatalf("epoch %d, expected %d", x.term.Epoch, epoch)
	}
}

// The store may apply a claim after its candidate has begun another campaign, under a lease that
// nobody renews. A candidate that took its own name in the key for an election would lead without a
// lease: it must replace the key by a new campaign instead.
func TestClaimAppliedLateElectsNobody(t *testing.T) {
	x := newCandidate()
	store := x.store
	for range 2 { // the responses to two claims are lost
		store.keyIsAbsent()
		store.commitFails(kvstore.ErrNoResponse)
		x.mailbox.advance(clock.Second)
	}
	if len(store.txns) != 2 || store.leases != 2 {
		t.Fatalf("%d campaigns under %d leases, expected 2 under 2", len(store.txns), store.leases)
	}
	store.keyIs(store.txns[0].Changes[0].Value, 9)
	x.expectEpoch(t, 0)
	if len(store.renewed) > 0 {
		t.Fatalf("renews %v, expected no renewal", store.renewed)
	}
	if len(store.txns) != 3 || store.txns[2].Conditions[0].Version != 9 {
		t.Fatalf("campaigns %+v, expected a third against version 9", store.txns)
	}
	// The candidate recognizes its last claim although the response to it is lost.
	store.commitFails(kvstore.ErrNoResponse)
	x.mailbox.advance(clock.Second)
	store.keyIs(store.txns[2].Changes[0].Value, 10)
	x.expectEpoch(t, 10)
	if !slices.Equal(store.renewed, []protocol.LeaseID{3}) {
		t.Fatalf("renews %v, expected lease 3", store.renewed)
	}
}

// The term must end before the store can expire the lease, or two controllers could lead at once. It
// is valid for the TTL of 4 s from the request for the lease, less a margin of 204 ms. The elected
// controller announces itself as the leader.
func TestElectedNodePublishesTermAndItself(t *testing.T) {
	x := newLeader()
	want := Term{Epoch: 5, RenewedAt: clock.Second, ValidUntil: 5*clock.Second - 204*clock.Millisecond}
	if x.term != want {
		t.Errorf("term %+v, expected %+v", x.term, want)
	}
	if !slices.Equal(x.leader, []string{"", "n"}) {
		t.Errorf("announced %q, expected nobody and then n", x.leader)
	}
}

// The store may extend the lease as soon as the leader has sent the renewal. If the term counted from
// the response, it could outlast the lease.
func TestRenewalExtendsTermFromWhenItWasSent(t *testing.T) {
	x := newLeader()
	x.mailbox.advance(800 * clock.Millisecond)
	sent := x.mailbox.now
	x.mailbox.now += 300 * clock.Millisecond
	x.store.renew(nil)
	if x.term.RenewedAt != sent {
		t.Errorf("renewed at %v, expected %v", x.term.RenewedAt, sent)
	}
}

// A renewal that fails doesn't end the term, because the next one may succeed in time. Only if the
// store reports that the lease no longer exists, the leader steps down and announces that there is no
// leader.
func TestFailedRenewalKeepsTermUntilLeaseExpires(t *testing.T) {
	x := newLeader()
	for _, err := range []error{kvstore.ErrNoResponse, kvstore.ErrUnavailable, kvstore.ErrThrottled,
		kvstore.ErrUnexpectedStatus} {
		x.store.renew(err)
		x.expectEpoch(t, 5)
	}
	x.store.renew(kvstore.ErrLeaseNotFound)
	x.expectEpoch(t, 0)
	if last := x.leader[len(x.leader)-1]; last != "" {
		t.Errorf("announced %q, expected nobody", last)
	}
}

// Guards against a leader that loses its lease because the store refuses requests beyond its rate limit: the
// store serves many requests in the time between two ordinary renewals, and a refused renewal goes again soon.
func TestThrottledRenewalIsRetriedSoon(t *testing.T) {
	x := newLeader()
	x.mailbox.now += clock.Second
	x.store.renew(kvstore.ErrThrottled)
	x.store.renew(kvstore.ErrThrottled) // another refusal before the retry
	if len(x.store.renewed) != 1 {
		t.Fatalf("%d renewals sent at once, want the retry to wait", len(x.store.renewed))
	}
	x.mailbox.advance(renewalRetryDelay) // the next ordinary renewal is handled too
	if len(x.store.renewed) != 3 {
		t.Fatalf("%d renewals sent, want the retry and the next ordinary one", len(x.store.renewed))
	}
	x.store.renew(nil)
	if sent := x.mailbox.now; x.term.RenewedAt != sent {
		t.Fatalf("renewed at %d, want %d", x.term.RenewedAt, sent)
	}
	x.store.renew(kvstore.ErrUnavailable)
	before := len(x.store.renewed)
	x.mailbox.advance(0) // the next ordinary renewal
	if got := len(x.store.renewed) - before; got != 1 {
		t.Fatalf("%d renewals after an outage's refusal, want only the ordinary one", got)
	}
}

// A higher epoch from a worker proves that another controller was elected, so the leader steps down.
// Its own epoch proves nothing.
func TestOnlyHigherEpochDeposes(t *testing.T) {
	x := newLeader()
	x.ObserveEpoch(5)
	x.expectEpoch(t, 5)
	x.ObserveEpoch(6)
	x.expectEpoch(t, 0)
}

// A controller that resigns deletes the leader's key at the version of its term. It claims the key
// again only after 12 s, even if nobody holds it. Otherwise it could be elected again before a
// controller that workers can reach.
func TestNodeThatResignedDoesNotStandForAWhile(t *testing.T) {
	x := newLeader()
	x.Resign()
	x.expectEpoch(t, 0)
	release := x.store.txns[1]
	if len(release.Conditions) != 1 || release.Conditions[0] != (protocol.Condition{Key: LeaderKey,
		Version: 5}) ||
		release.Changes[0].Delete != LeaderKey {
		t.Fatalf("released by %+v, expected the removal of the key at version 5", release)
	}
	x.store.commitsAt(6)
	x.store.keyIsAbsent()
	x.mailbox.advance(11 * clock.Second)
	x.store.keyIsAbsent()
	if n := len(x.store.txns); n != 2 {
		t.Fatalf("%d transactions 11 s after it resigned, expected no claim yet", n)
	}
	x.mailbox.advance(clock.Second)
	x.store.keyIsAbsent()
	if n := len(x.store.txns); n != 3 {
		t.Fatalf("%d transactions 12 s after it resigned, expected a claim", n)
	}
}

// A follower campaigns as soon as the watch reports the deletion of the leader's key, and not on a
// response without changes. Otherwise it would campaign against a valid leader, or the cluster would
// have no leader for longer.
func TestFollowerCampaignsOnceKeyIsGone(t *testing.T) {
	x := newCandidate()
	other := protocol.Encode(holder{Node: "m", Incarnation: "other", Lease: 1})
	x.store.keyIs(other, 3)
	if !slices.Equal(x.leader, []string{"m"}) {
		t.Fatalf("announced %q, expected m", x.leader)
	}
	x.store.watch(kvstore.Result[protocol.WatchResponse]{Value: protocol.WatchResponse{Revision: 4}})
	if len(x.store.txns) > 0 {
		t.Fatal("campaigns against a leader whose key hasn't changed")
	}
	gone := protocol.WatchResponse{Revision: 5, Events: []protocol.Event{{Delete: LeaderKey, Version: 5}}}
	x.store.watch(kvstore.Result[protocol.WatchResponse]{Value: gone})
	if len(x.store.txns) != 1 || x.store.txns[0].Conditions[0].Version != 0 {
		t.Fatalf("%+v, expected one claim of an absent key", x.store.txns)
	}
}

// A follower that can't read the leader's key no longer announces the leader once its last successful
// read is more than 7 s old: workers redirected to that leader could find that it no longer leads.
func TestLeaderUnseenForAWhileIsNotNamed(t *testing.T) {
	x := newCandidate()
	x.store.keyIs(protocol.Encode(holder{Node: "m", Incarnation: "other", Lease: 1}), 3)
	x.store.watch(kvstore.Result[protocol.WatchResponse]{Err: kvstore.ErrUnavailable})
	x.mailbox.advance(7 * clock.Second)
	x.store.get(kvstore.Result[protocol.Item]{Err: kvstore.ErrNoResponse})
	if !slices.Equal(x.leader, []string{"m"}) {
		t.Fatalf("announced %q after 7 s, expected still m", x.leader)
	}
	x.mailbox.advance(1)
	x.store.get(kvstore.Result[protocol.Item]{Err: kvstore.ErrNoResponse})
	if !slices.Equal(x.leader, []string{"m", ""}) {
		t.Fatalf("announced %q after more than 7 s, expected nobody in the end", x.leader)
	}
}

// A result of an earlier round, here that the leader's key is absent, may arrive late. The candidate
// drops it. Otherwise a leader would campaign again.
func TestResponsesOfEarlierRoundsAreDropped(t *testing.T) {
	x := newCandidate()
	early := x.store.get
	x.store.keyIsAbsent()
	x.store.commitsAt(5)
	early(kvstore.Result[protocol.Item]{Err: kvstore.ErrNotFound})
	if n := len(x.store.txns); n != 1 || x.term.Epoch != 5 {
		t.Fatalf("%d campaigns and epoch %d, expected 1 and 5", n, x.term.Epoch)
	}
}
