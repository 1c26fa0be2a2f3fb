package dispatch

import (
	"log/slog"

	"postpoint/internal/clock"
	"postpoint/internal/protocol"
)

const (
	listTime    = 4 * clock.Second
	refusedTime = 8 * clock.Second
	refusedMost = 32 * clock.Second
	downTime    = 2 * clock.Second
	unheardTime = 9 * clock.Second
	leaseMargin = clock.Second
)

// expire frees the places of machines whose leases have ended unheard, and
// gives up on machines that show no sign of life.
func (d *Dispatch) expire() {
	now := d.now()
	w := d.set.Deployment.Workers
	for _, m := range d.roster {
		if m.releasing {
			continue
		}
		if !m.expired && (m.seen || len(m.placed) > 0) && now > d.proofAt(m) {
			slog.Info("machine is silent, its lease has ended", "machine", m.name, "jobs", len(m.placed),
				"silent_s", (now - m.heardAt).Seconds())
			m.expired = true
			for id, tasks := range inOrder(m.placed) {
				for _, p := range inOrder(tasks) {
					m.session = max(m.session, p.Session)
					j := d.jobs[id]
					switch {
					case j == nil || j.reread:
					case j.mustEnd():
						// It may hang, and what it was stopped in the middle of counts as
						// there until it goes on or is gone.
						m.overdue = true
						d.release(m, "silent with cancelled tasks")
					default:
						d.unplace(j, p)
					}
				}
			}
			clear(m.tasks)
			clear(m.since)
			m.viewStale = true
		}
		boot := clock.FromSeconds(d.types[m.typ].BootS)
		switch {
		case m.expired && now > max(m.heardAt, m.firstSeen)+w.Lease()+20*clock.Second:
			d.release(m, "silent")
		case m.status == protocol.MachineFailed:
			d.release(m, "failed")
		case !m.seen && m.status == protocol.MachineStarting && now > m.firstSeen+2*boot+10*clock.Second:
			d.release(m, "never came up")
		case !m.seen && m.status == protocol.MachineRunning && now > m.firstSeen+max(boot, w.Lease())+30*clock.Second:
			d.release(m, "up but never reported")
		case m.quarantine && len(m.placed) == 0:
			d.release(m, "set aside")
		}
	}
}

// drain saves what runs on machines that the cloud will take.
func (d *Dispatch) drain() {
	for _, m := range d.roster {
		if m.recallAt == 0 {
			continue
		}
		left := (m.recallAt - d.now()).Seconds()
		for id, tasks := range inOrder(m.placed) {
			j := d.jobs[id]
			if j != nil && j.Spec.Service() {
				d.moveReplicas(j, tasks)
				continue
			}
			if j == nil || j.Spec.CheckpointS == 0 || left > j.Spec.SaveS+saveMargin {
				continue
			}
			for task := range inOrder(tasks) {
				d.stop(j, task, "recall", "")
			}
		}
	}
}

// saveMargin is the time, in seconds, that an order to save may take to arrive.
const saveMargin = 4.0

// stop takes a running task off its machine, saving if it can. A gang can only
// save whole, so that all its tasks are told at once.
func (d *Dispatch) stop(j *job, task int, why, forID string) {
	tell := func(t int) {
		p, ok := j.Placed[t]
		if _, stopping := j.stops[t]; !ok || stopping {
			return
		}
		j.stops[t] = stop{grace: j.Spec.SaveS + 1, why: why}
		j.runningStale = true
		slog.Debug("stopping task", "job", j.Spec.ID, "task", t, "machine", p.Machine, "why", why, "for", forID)
		if m := d.machines[p.Machine]; m != nil {
			d.pushOrders(m)
		}
	}
	if !j.Spec.Gang() {
		tell(task)
		return
	}
	for t := range inOrder(j.Placed) {
		tell(t)
	}
}

// remind repeats this term's epoch by direct command to machines that haven't come
// by themselves, a few at a time.
func (d *Dispatch) remind() {
	now := d.now()
	due := now - d.set.Deployment.Workers.Report()*3/2 - clock.Second
	left := remindAtOnce
	for _, m := range d.roster {
		if left > 0 && !d.synced(m) && !m.releasing && !m.calling && m.status != protocol.MachineStarting &&
			max(m.heardAt, d.begunAt) < due && now >= m.syncedAt+remindTime {
			left--
			d.pushOrders(m)
		}
	}
}

const (
	remindAtOnce = 8
	remindTime   = 2 * clock.Second
)
