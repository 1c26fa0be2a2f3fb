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

// The snapshot contains the work that the preemption of a task would lose, as soon as some job could
// preempt another, by its rank or because a team has a guarantee. Without it, the planner would choose
// victims that lose more work than others.
func TestPreemptionOverheadsAreKnownIfJobsCanBePreempted(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(l *Leader)
		want   float64
	}{
		{"equal jobs", func(*Leader) {}, 0},
		{"two ranks", func(l *Leader) {
			spec := protocol.JobSpec{ID: "job-2", Shape: protocol.ShapeArray, Priority: "urgent", Tasks: 1}
			l.reader.Apply(jobrecord.Key("job-2"), jobrecord.New(spec, 1).Encode(), 6)
		}, 20},
		{"a guarantee", func(l *Leader) {
			l.state.Settings.Deployment.Teams = []settings.Team{{Name: "a", Cpus: 1}}
		}, 20},
	} {
		l, _, _ := leaderWithEightTasks()
		c.change(l)
		l.state.Mailbox.(*actortest.SynchronousMailbox).Now += 20 * clock.Second
		for _, j := range l.snapshots.Snapshot().Jobs {
			for _, r := range j.Running {
				if r.OverheadS != c.want {
					t.Errorf("%s: task %d: got an overhead of %v s, want %v", c.name, r.Task, r.OverheadS, c.want)
				}
			}
		}
	}
}

// A job avoids the machine on which it failed, but not for ever: the cloud may have no other one.
func TestStarvingJobTriesMachineOnWhichItFailed(t *testing.T) {
	l, j, m, mailbox := leaderWithOneTask(t)
	l.jobs.ReleasePlacement(j, j.Placements[0])
	j.AvoidMachine(m.Name)
	for _, waitS := range []float64{1, 60} {
		mailbox.Now = j.WaitingSince + clock.FromSeconds(waitS)
		planned := l.snapshots.PlannedJob(j, mailbox.Now, snapshots.WithoutOverheads)
		if avoided := planned.AvoidedMachines[m.Name]; avoided != (waitS < 45) {
			t.Errorf("after %v s: machine avoided %v, want %v", waitS, avoided, waitS < 45)
		}
	}
}

// Replicas don't count as work of their team beyond its guarantee. If they did, the guarantees of other
// teams would preempt them.
func TestReplicasAreNeverOverQuota(t *testing.T) {
	l, _, _ := leaderWithService(t)
	s := l.snapshots.Snapshot()
	snapshots.MarkOverQuota(&s)
	for _, j := range s.Jobs {
		for _, r := range j.Running {
			if r.OverQuota {
				t.Errorf("replica %s/%d is over quota, want no replica to be", j.ID, r.Task)
			}
		}
	}
}
