package scheduler

import (
	"log/slog"

	"postpoint/internal/clock"
	"postpoint/internal/jobrecord"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/leader/snapshots"
	"postpoint/internal/leader/term"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

// stopReasonPreempted is the logged reason for stopping preempted tasks.
const stopReasonPreempted = "preempted"

// applyPlacements proposes the placements on ready machines. The plan's other placements only keep
// capacity free: reserves, and tasks that wait for a machine to boot.
func (s *Scheduler) applyPlacements(placements []planner.Placement) {
	waiting := s.gangsWaitingForBoot(placements)
	for _, p := range placements {
		switch {
		case snapshots.IsReserve(p.Job):
			s.machines.ByName[p.Machine].ReservedAt = s.Now()
		case !p.MachineBooting && !waiting[p.Job]:
			s.place(s.jobs.ByID[p.Job], p.Task, s.machines.ByName[p.Machine])
		}
	}
}

// gangsWaitingForBoot returns the gangs that have a planned placement on a booting machine. A gang
// starts as a whole or not at all: a part of it would hold capacity, fail because the rest is
// missing, and start over.
func (s *Scheduler) gangsWaitingForBoot(placements []planner.Placement) map[protocol.JobID]bool {
	waiting := map[protocol.JobID]bool{}
	for _, p := range placements {
		if p.MachineBooting && !snapshots.IsReserve(p.Job) && s.jobs.ByID[p.Job].Spec.IsGang() {
			waiting[p.Job] = true
		}
	}
	return waiting
}

// place proposes the placement of a task.
func (s *Scheduler) place(j *jobtable.Job, task int, m *machinetable.Machine) {
	if term.DebugEnabled() {
		sinceSubmission := s.Mailbox.TimeOfDay() - clock.Micros(j.SubmittedAt)
		slog.Debug("placing task", "job", j.Spec.ID, "class", j.Spec.Class, "task", task,
			"machine", m.Name, "type", m.Type, "image_cached", m.HasImage(j.Spec.Image),
			"since_submission_s", sinceSubmission.Seconds())
	}
	s.jobs.AddPlacement(j, jobrecord.Placement{
		Task:        task,
		Attempt:     j.CurrentAttempt(),
		Machine:     m.Name,
		Incarnation: int64(m.Incarnation),
	})
	if j.DisplacedFrom != "" && j.PendingCount() == 0 {
		s.zones.EndDisplacement(j) // all tasks from the lost zone are placed again
	}
}

// applyPreemptions stops the preempted tasks. It adds their jobs to the preemptor's record as lenders,
// which get the capacity back first when the preemptor is done.
func (s *Scheduler) applyPreemptions(preemptions []planner.Preemption) {
	for _, p := range preemptions {
		slog.Info("preempting task", "job", p.Job, "task", p.Task, "preemptor", p.Preemptor)
		s.commands.Stop(s.jobs.ByID[p.Job], p.Task, stopReasonPreempted, p.Preemptor)
		if preemptor := s.jobs.ByID[p.Preemptor]; preemptor.AddLender(p.Job) {
			s.jobs.MarkHeadChanged(preemptor)
		}
	}
}
