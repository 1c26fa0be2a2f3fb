package leader

import (
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/jobrecord"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
	"postpoint/internal/settings"
)

// A job of which tasks are done, but none runs any more, gets the highest tier once it has waited as long as a
// job that never started. Otherwise other jobs could go before it for ever.
func TestJobThatLostItsTasksBecomesOverdue(t *testing.T) {
	l, mailbox := newLeader()
	content := jobrecord.New(protocol.JobSpec{ID: "job-1", Class: "c", Shape: protocol.ShapeArray, Tasks: 2}, 1)
	content.Placements[1] = jobrecord.Placement{Task: 1, Attempt: 1, Machine: "m-1", Incarnation: 1}
	content.Done.Add(0)
	l.reader.Apply(jobrecord.Key("job-1"), content.Encode(), 5)
	l.state.Settings.Deployment.Objectives = []settings.Objective{{Kind: "finished", Class: "c", WithinS: 1000}}
	j := l.jobs.ByID["job-1"]
	j.SubmittedAt = int64(mailbox.Now)
	mailbox.Now += 500 * clock.Second
	if tier := l.objectives.Urgency(j).Tier; tier != planner.TierEndInTime {
		t.Errorf("while a task runs: tier %v, want %v", tier, planner.TierEndInTime)
	}
	l.jobs.ReleasePlacement(j, j.Placements[1])
	for _, c := range []struct {
		waitS float64
		tier  planner.Tier
	}{{0, planner.TierEndInTime}, {149, planner.TierEndInTime}, {151, planner.TierStartInTime}} {
		mailbox.Now = j.WaitingSince + clock.FromSeconds(c.waitS)
		if tier := l.objectives.Urgency(j).Tier; tier != c.tier {
			t.Errorf("%v s after the loss: tier %v, want %v", c.waitS, tier, c.tier)
		}
	}
}

// The slack of a job that hasn't started is the time left to its next start objective. The last
// objective is the four minutes within which every job must start. For a class that must start sooner
// than a machine boots, only this last one counts: otherwise the planner would defer the class's jobs
// once they have missed an objective of a few seconds, and they would miss the four minutes too.
func TestNextStartObjectiveSetsSlack(t *testing.T) {
	l, j, _, mailbox := leaderWithOneTask(t)
	mailbox.Now = 1000 * clock.Second
	l.catalogue.Types = []protocol.MachineType{{Name: "t", BootS: 30, FetchGBPerS: 0.25}}
	l.state.Settings.Deployment.Objectives = []settings.Objective{
		{Kind: "wait", Class: "late", WithinS: 120},
		{Kind: "wait", Class: "late", WithinS: 300},
		{Kind: "wait", Class: "soon", WithinS: 5},
	}
	for _, c := range []struct {
		name, class         string
		ageS, imageGB, want float64
	}{
		{"first objective", "late", 50, 0, 70},
		{"four-minute objective before the second one of its class", "late", 130, 0, 110},
		{"four-minute objective missed", "late", 250, 0, -10},
		{"no objective", "none", 100, 0, 140},
		{"objective sooner than a boot", "soon", 1, 0, 239},
		{"image that takes 80 s", "none", 100, 20, 60},
	} {
		j.Spec.Class, j.Spec.ImageGB = c.class, c.imageGB
		j.SubmittedAt = int64(mailbox.Now - clock.FromSeconds(c.ageS))
		if got := l.objectives.StartSlackS(j); got != c.want {
			t.Errorf("%s: got a slack of %v s, want %v", c.name, got, c.want)
		}
	}
}
