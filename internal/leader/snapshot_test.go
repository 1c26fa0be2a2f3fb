package leader

import (
	"testing"

	"postpoint/internal/actor/actortest"
	"postpoint/internal/clock"
	"postpoint/internal/jobrecord"
	"postpoint/internal/leader/snapshots"
	"postpoint/internal/protocol"
	"postpoint/internal/settings"
)

// What the preemption of a task would lose is known as soon as some job could preempt another: by its
// rank, or because a team has a guarantee.
func TestPreemptionOverheadsAreKnownIfJobsCanBePreempted(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(d *Leader)
		want   float64
	}{
		{"jobs alike", func(*Leader) {}, 0},
		{"two ranks", func(d *Leader) {
			spec := protocol.JobSpec{ID: "job-2", Shape: protocol.ShapeArray, Priority: "urgent", Tasks: 1}
			d.reader.Apply(jobrecord.Key("job-2"), jobrecord.New(spec, 1).Encode(), 6)
		}, 20},
		{"a guarantee", func(d *Leader) {
			d.state.Settings.Deployment.Teams = []settings.Team{{Name: "a", Cpus: 1}}
		}, 20},
	} {
		d, _, _ := leaderWithEightTasks()
		c.change(d)
		d.state.Mailbox.(*actortest.SynchronousMailbox).Now += 20 * clock.Second
		for _, j := range d.snapshots.Snapshot().Jobs {
			for _, r := range j.Running {
				if r.OverheadS != c.want {
					t.Errorf("%s: task %d loses %v s, want %v", c.name, r.Task, r.OverheadS, c.want)
				}
			}
		}
	}
}

// Replicas aren't taken for work of their team beyond its guarantee, which others' guarantees end.
func TestReplicasAreNeverOverQuota(t *testing.T) {
	d, _, _ := leaderWithService(t)
	s := d.snapshots.Snapshot()
	snapshots.MarkOverQuota(&s)
	for _, j := range s.Jobs {
		for _, r := range j.Running {
			if r.OverQuota {
				t.Errorf("replica %s/%d is over quota, want none to be", j.ID, r.Task)
			}
		}
	}
}
