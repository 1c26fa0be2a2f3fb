package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"postpoint/internal/protocol"
)

func init() { scenarios["attestation"] = lateQuestion }

const (
	// cancelAfter is how long after the state service began to refuse the leader the user cancels.
	cancelAfter = 50 * time.Millisecond
	// outageAfter is how long after that the state service is out for everybody, and outage for how long:
	// longer than cancel_s.
	outageAfter = time.Second
	outage      = 44 * time.Second
	// resent is by how much one packet is late that was lost and sent again.
	resent = 400 * time.Millisecond
)

// frameKindAt is where a frame between controllers has its kind, and kindAttestation the question what a
// controller told its users.
const (
	frameKindAt     = 8
	kindAttestation = 4
)

// lateQuestion cancels a job at the moment at which the state service refuses the leader alone. A second
// later the service is out for longer than cancel_s.
func lateQuestion(d *deployment, trouble bool) (int, error) {
	if err := d.start(); err != nil {
		return notRun, err
	}
	leader, others := d.leader()
	teller := others[0]
	const victim = protocol.JobID("job-000100")
	if status := d.submit(teller, array(string(victim), 1, 2, 300), 300*time.Second); status != http.StatusCreated {
		return notRun, errors.New("the submission was not accepted")
	}
	running := func() bool { return d.history.onMachine(string(victim)+"/0") != "" }
	if err := d.await("the job runs", 30*time.Second, running); err != nil {
		return notRun, err
	}
	time.Sleep(3 * time.Second)
	if d.store.leader() != leader.name {
		return notRun, errors.New("the leader changed before the disruption")
	}
	for i := range 4 { // other users' jobs
		d.submit(teller, array(fmt.Sprintf("job-%06d", 101+i), 1, 1, 300), 300*time.Second)
		time.Sleep(10 * time.Millisecond)
	}
	if trouble {
		d.store.setRefused(leader.name, true)
		if os.Getenv("RESENT") != "0" {
			d.resendOnce(leader, teller)
		}
		time.AfterFunc(outageAfter, func() { d.store.setDown(true) })
		time.AfterFunc(outageAfter+outage, func() {
			d.store.setRefused(leader.name, false)
			d.store.setDown(false)
		})
	}
	time.Sleep(cancelAfter)
	status, state := d.withdraw(teller, victim)
	told := d.rec.now()
	if status != http.StatusOK || state != protocol.StatusCancelled {
		return notRun, errors.New("the cancellation was not confirmed")
	}
	return d.checkCancelled(victim, told)
}

// resendOnce delays the first question of one controller to another one, as if its packet had been lost and
// sent again.
func (d *deployment) resendOnce(from, to *node) {
	var done atomic.Bool
	d.proxies[from.name+">"+to.name].setDelay(func(first []byte) time.Duration {
		if len(first) <= frameKindAt || first[frameKindAt] != kindAttestation || done.Swap(true) {
			return 0
		}
		d.rec.note("network: a packet from %s to %s is lost and sent again %v later", from.name, to.name, resent)
		return resent
	})
}

// checkCancelled waits until cancel_s after a user was told that a job is cancelled, and then checks that its
// only task is gone.
func (d *deployment) checkCancelled(id protocol.JobID, told time.Duration) (int, error) {
	const margin = 500 * time.Millisecond // in favour of the controllers
	bound := told + time.Duration(d.workers.CancelS*float64(time.Second)) + margin
	time.Sleep(bound - d.rec.now())
	if machine := d.history.onMachine(string(id) + "/0"); machine != "" {
		d.rec.note("RULE ran_cancelled: %s/0 is on %s %.1f s after its user was told that it is cancelled", id,
			machine, (d.rec.now() - told).Seconds())
		return broken, nil
	}
	return held, nil
}
