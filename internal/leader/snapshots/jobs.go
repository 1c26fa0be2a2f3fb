package snapshots

import (
	"maps"
	"math"
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/jobrecord"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

const (
	// maxPreemptingFailures is how many starts of a job may fail before it preempts no other job any
	// more: preemption wouldn't help a job that can't use the capacity.
	maxPreemptingFailures = 2
	// maxTasksPerPlan bounds how many tasks of one job a single plan starts.
	maxTasksPerPlan = 2000
	// scaleOutTimeout is how long the planner waits for machines that a job needs before it assumes
	// that they won't come. It is longer than any boot, and less than the 90 s that users grant other
	// jobs.
	scaleOutTimeout = 60 * clock.Second
	// startMargin is the minimum remaining time of a hosted job's permission for a start: with less,
	// the permission would expire before the task began.
	startMargin = 2 * clock.Second
)

// Overheads selects whether a snapshot contains what the preemption of each running task would lose.
type Overheads bool

const (
	// WithOverheads computes the losses.
	WithOverheads Overheads = true
	// WithoutOverheads leaves them out, since nothing can be preempted.
	WithoutOverheads Overheads = false
)

// overheadsNeeded returns WithOverheads if some job could preempt another. Each plan contains thousands
// of running tasks, so the losses are computed only in this case.
func (b *Builder) overheadsNeeded(teams map[string]planner.Team) Overheads {
	for _, team := range teams {
		if team.HasGuarantee() {
			return WithOverheads
		}
	}
	ranks := map[int]bool{}
	for _, j := range b.jobs.ByID {
		ranks[j.Rank()] = true
	}
	return len(ranks) > 1
}

// plannable reports whether a snapshot contains a job: its record is known, and some of its tasks may
// run.
func plannable(j *jobtable.Job, now clock.Micros) bool {
	if j.MustNotRun() || !j.ContentKnown() {
		return false
	}
	return j.Permission == nil || j.Permission.MayStart(now) || len(j.Placements) > 0
}

// PlannedJob returns the planner's view of a job.
func (b *Builder) PlannedJob(j *jobtable.Job, now clock.Micros, overheads Overheads) planner.Job {
	planned := planner.Job{
		ID:              j.Spec.ID,
		Spec:            &j.Spec,
		Rank:            j.Rank(),
		SubmittedAt:     j.SubmittedAt,
		Lender:          j.Reclaiming,
		BackingOff:      now < j.NotBefore || b.zones.AwaitsClearance(j),
		MayPreempt:      j.StartFailures <= maxPreemptingFailures,
		AvoidedMachines: b.avoidedMachines(j),
		ScaleOutOverdue: scaleOutOverdue(j, now),
		Starving:        b.objectives.Starving(j),
	}
	b.setUrgency(j, &planned)
	planned.Running = b.runningTasks(j, now, overheads)
	if b.mayStartTasks(j) {
		b.setPending(j, &planned, now)
	}
	if len(planned.Pending) == 0 {
		j.Reclaiming = false
	}
	if j.Permission != nil {
		b.restrictHosted(j, &planned, now)
	}
	return planned
}

// setUrgency sets a job's tier and how much time is left until it should start and end.
func (b *Builder) setUrgency(j *jobtable.Job, planned *planner.Job) {
	urgency := b.objectives.Urgency(j)
	planned.Tier, planned.SlackS = urgency.Tier, urgency.SlackS
	planned.HasStartObjective = j.Spec.IsService() || b.objectives.StartObjectiveS(j.Spec.Class) > 0
	planned.StartSlackS = b.objectives.StartSlackS(j)
}

// scaleOutOverdue reports whether a job has needed additional machines for longer than scaleOutTimeout
// and still needs them.
func scaleOutOverdue(j *jobtable.Job, now clock.Micros) bool {
	return j.HasUnmetDemand(now) && now > j.UnmetSince+scaleOutTimeout
}

// mayStartTasks reports whether a job has pending tasks that a plan may start.
func (b *Builder) mayStartTasks(j *jobtable.Job) bool {
	if j.PendingCount() == 0 || j.Sharding() {
		return false
	}
	// A job with OneZone or Spread restricts the zones of its tasks, and those of tasks in other cells
	// are unknown.
	if j.DelegatedTasks > 0 && (j.Spec.OneZone || j.Spec.Spread) {
		return false
	}
	return !j.Spec.IsGang() || len(j.Placements) == 0 || b.commands.Completable(j)
}

// setPending sets the pending tasks of a job, and how many of them a plan may start within what the
// record can hold.
func (b *Builder) setPending(j *jobtable.Job, planned *planner.Job, now clock.Micros) {
	valueBytes, _ := b.writer.Limits()
	if j.Spec.IsGang() {
		planned.Pending = j.Pending(j.Spec.Tasks)
		planned.MaxStarts = len(j.Startable(valueBytes, j.Spec.Tasks))
		planned.AvoidedMachines = b.machinesWithExitedTasks(j)
		return
	}
	planned.Pending = j.Restartable(j.Startable(valueBytes, maxTasksPerPlan), now)
	planned.MaxStarts = len(planned.Pending)
}

// avoidedMachines returns the machines that a job avoids because it failed there. A job that starves tries
// them again: there may be no other machine.
func (b *Builder) avoidedMachines(j *jobtable.Job) map[protocol.MachineName]bool {
	if b.objectives.Starving(j) {
		return nil
	}
	return j.AvoidMachines
}

// machinesWithExitedTasks returns the machines that a gang avoids. For a gang that may be completed, it
// adds the machines that still report an exited task of the gang: if the exited task is of the attempt
// that is being completed, a start of the same task and attempt has no effect there.
func (b *Builder) machinesWithExitedTasks(j *jobtable.Job) map[protocol.MachineName]bool {
	if len(j.Placements) == 0 {
		return b.avoidedMachines(j)
	}
	avoid := maps.Clone(j.AvoidMachines)
	for _, m := range b.machines.Ordered {
		for ref, task := range m.Tasks {
			if ref.Job == j.Spec.ID && task.Status == protocol.TaskExited {
				avoid[m.Name] = true
			}
		}
	}
	return avoid
}

// restrictHosted restricts the planner's view of a hosted job. The job preempts nothing, and takes only
// the capacity that is free beyond the cell's reserve.
func (b *Builder) restrictHosted(j *jobtable.Job, planned *planner.Job, now clock.Micros) {
	planned.MayPreempt, planned.HasStartObjective, planned.Lender = false, false, false
	planned.Starving = false // this cell's reserves are for its own jobs
	planned.Tier, planned.SlackS, planned.StartSlackS = planner.TierEndInTime, math.MaxFloat64,
		math.MaxFloat64
	planned.BackingOff = planned.BackingOff || !j.Permission.MayStart(now+startMargin) || j.Hosted.Closed
	if b.Directory == nil || b.Directory.Own.Reserve == (planner.Resources{}) {
		return
	}
	available := b.free.Minus(b.Directory.Own.Reserve)
	available.MemoryGB = planner.UnlimitedMemoryGB // the reserve is of CPUs and GPUs only
	if fits := planner.TaskResources(&j.Spec).CopiesIn(available); fits < len(planned.Pending) {
		planned.MaxStarts = min(planned.MaxStarts, fits)
	}
}

// runningTasks returns the tasks that a job has placed in this cell. The next snapshots reuse the
// result until a placement changes.
func (b *Builder) runningTasks(j *jobtable.Job, now clock.Micros, overheads Overheads) []planner.RunningTask {
	if j.RunningStale {
		b.rebuildRunning(j)
	}
	if overheads == WithOverheads {
		setOverheads(j, now)
	}
	return j.RunningView
}

// rebuildRunning rebuilds the planner's view of a job's placements.
func (b *Builder) rebuildRunning(j *jobtable.Job) {
	j.RunningStale = false
	j.RunningView, j.RunningSince, j.DelegatedTasks = j.RunningView[:0], j.RunningSince[:0], 0
	for _, task := range slices.Sorted(maps.Keys(j.Placements)) {
		placement := j.Placements[task]
		if placement.HostCell() != "" {
			j.DelegatedTasks++
			continue // its preemption frees no capacity in this cell
		}
		running, since := b.runningTask(j, placement)
		j.RunningView, j.RunningSince = append(j.RunningView, running), append(j.RunningSince, since)
	}
}

// runningTask returns a placed task and the time at which a heartbeat first reported it as running, 0
// if none has yet.
func (b *Builder) runningTask(j *jobtable.Job, placement jobrecord.Placement) (planner.RunningTask,
	clock.Micros) {
	running := planner.RunningTask{Task: placement.Task, Machine: placement.Machine}
	_, running.Stopping = j.Stops[placement.Task]
	m := b.machines.ByName[placement.Machine]
	if m == nil {
		return running, 0
	}
	running.Zone = m.Zone
	return running, m.RunningSince[j.AttemptOf(placement)]
}

// setOverheads sets what the preemption of each running task would lose: the time since its last
// checkpoint, derived from the interval that the job declares, or the time since its start if it
// declares none.
func setOverheads(j *jobtable.Job, now clock.Micros) {
	for i, since := range j.RunningSince {
		running := &j.RunningView[i]
		running.OverheadS, running.OverQuota = 0, false
		if since == 0 {
			continue
		}
		running.OverheadS = (now - since).Seconds()
		if j.Spec.CheckpointS > 0 {
			running.OverheadS = math.Mod(running.OverheadS, j.Spec.CheckpointS)
		}
	}
}
