package main

import (
	"errors"
	"net/http"
	"time"

	"postpoint/internal/protocol"
)

func init() { scenarios["hang"] = hungMachine }

const (
	// hangFor is how long the machine hangs, from hangBefore before its job is cancelled.
	hangFor    = 45 * time.Second
	hangBefore = time.Second
	// cloudDownAfter is how long after the cancellation the cloud's interface goes down, cloudDownFor for how
	// long.
	cloudDownAfter = 17500 * time.Millisecond
	cloudDownFor   = 20 * time.Second
)

// hungMachine cancels a job whose machine hangs. Later the cloud's interface is down for a while.
func hungMachine(d *deployment, trouble bool) (int, error) {
	if err := d.start(); err != nil {
		return notRun, err
	}
	const victim = protocol.JobID("job-000100")
	if d.submit(d.nodes[0], array(string(victim), 1, 2, 300), 300*time.Second) != http.StatusCreated {
		return notRun, errors.New("the submission was not accepted")
	}
	if err := d.await("the job runs", 30*time.Second, func() bool {
		return d.history.onMachine(string(victim)+"/0") != ""
	}); err != nil {
		return notRun, err
	}
	time.Sleep(5 * time.Second)
	if trouble {
		d.hang(d.history.onMachine(string(victim)+"/0"), hangFor)
		time.Sleep(hangBefore)
	}
	status, state := d.withdraw(d.nodes[0], victim)
	told := d.rec.now()
	if status != http.StatusOK || state != protocol.StatusCancelled {
		return notRun, errors.New("the cancellation was not confirmed")
	}
	if trouble {
		time.AfterFunc(cloudDownAfter, func() { d.cloud.setDown(true) })
		time.AfterFunc(cloudDownAfter+cloudDownFor, func() { d.cloud.setDown(false) })
	}
	return d.checkCancelled(victim, told)
}

// hang lets a machine hang for a time.
func (d *deployment) hang(name string, length time.Duration) {
	d.cloud.mu.Lock()
	m := d.cloud.machines[protocol.MachineName(name)]
	d.cloud.mu.Unlock()
	if m == nil {
		return
	}
	d.rec.note("%s: hangs for %v", name, length)
	m.worker.set(func() { m.worker.hung = true })
	time.AfterFunc(length, func() {
		d.rec.note("%s: goes on", name)
		m.worker.set(func() { m.worker.hung = false })
	})
}

// setDown begins or ends an outage of the cloud's interface.
func (c *cloud) setDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
	c.d.rec.note("cloud: outage %v", down)
}
