package main

import (
	"fmt"
	"time"

	"gonum.org/v1/plot/plotter"

	"postpoint/internal/clock"
	"postpoint/internal/protocol"
	"postpoint/internal/settings"
	"postpoint/internal/simulation"
)

const (
	submissionEnd = 240 * clock.Second // users submit jobs before this time
	dayLength     = 900 * clock.Second
	destroyTime   = 100 * clock.Second // of beta, in variants with a loss

	firstSubmission = 20 * clock.Second
	alphaInterval   = 5 * clock.Second  // between submissions to alpha, the overloaded cell
	betaInterval    = 30 * clock.Second // between submissions to beta
	jobDuration     = 40 * clock.Second
	gangEvery       = 4 // every fourth job is a gang
	hostedCapacity  = "guests = { cpus = 64.0 }"
	offloadRules    = "[[spill]]\nfrom = \"alpha\"\nto = [\"beta\", \"gamma\"]\n"
	numberOfCells   = 3
	notReturned     = -1 // value of returnedS while the lost cell holds tasks
)

// cellsVariant is a configuration of offloading between the cells.
type cellsVariant struct {
	name         string
	rules        string // offload rules of the cells file
	cellsEnabled bool   // whether there is a cells file at all
	destroyBeta  bool   // whether the cell with most of the hosted jobs is destroyed at destroyTime
}

// cellsVariants are the compared variants.
var cellsVariants = []cellsVariant{
	{name: "cells off", cellsEnabled: false},
	{name: "on, nothing may spill", cellsEnabled: true},
	{name: "spilling", cellsEnabled: true, rules: offloadRules},
	{name: "spilling, beta lost at 100 s", cellsEnabled: true, rules: offloadRules, destroyBeta: true},
}

// cellsDay is the result of one simulated day, or the sum of several.
type cellsDay struct {
	starts                []float64 // of the overloaded cell's jobs, in seconds from their submission
	ends                  []float64 // of the same jobs
	otherStarts           []float64 // of the other cells' own jobs
	runsOutsideOrigin     int       // runs of tasks outside their origin cell
	runs                  int       // all runs of tasks
	delegations           int       // by the overloaded cell
	jobs                  int       // of the overloaded cell
	tasksNotCompletedOnce int       // tasks that didn't complete exactly once, and overlapping runs
	unfinished            int
	violations            int           // violations of the simulation's rules
	storeChanges          int           // to the overloaded cell's store
	returnedS             float64       // from a cell's loss until it holds no tasks of the overloaded cell
	elapsed               time.Duration // real time of the simulation
	delegatedOverTime     plotter.XYs   // the overloaded cell's tasks that other cells hold
}

// add adds the results of a day.
func (c *cellsDay) add(day cellsDay) {
	c.starts = append(c.starts, day.starts...)
	c.ends = append(c.ends, day.ends...)
	c.otherStarts = append(c.otherStarts, day.otherStarts...)
	c.runsOutsideOrigin += day.runsOutsideOrigin
	c.runs += day.runs
	c.delegations += day.delegations
	c.jobs += day.jobs
	c.tasksNotCompletedOnce += day.tasksNotCompletedOnce
	c.unfinished += day.unfinished
	c.violations += day.violations
	c.storeChanges += day.storeChanges
	c.elapsed += day.elapsed
}

// cellSettings returns the settings of each cell.
func cellSettings() *settings.Settings {
	s := &settings.Settings{}
	s.Deployment = settings.Deployment{
		Teams: []settings.Team{{Name: "open"}},
		Workers: settings.Workers{HeartbeatS: 2.5, LeaseS: 16, GangWaitS: 40, GangPeerTimeoutS: 5,
			CancelS: 36},
		KVStore:       settings.KVStore{Rps: 100, WriteRps: 30, ValueKb: 32, TxnOps: 12},
		Cloud:         settings.Cloud{Rps: 8, ListLagS: 4},
		MachineLimits: settings.MachineLimits{CPU: 0.1},
	}
	return s
}

// cellTypes are the machine types of each cell.
var cellTypes = []protocol.MachineType{{
	Name: "small", Cpus: 8, MemoryGB: 32, CacheGB: 50, FetchGBPerS: 1, Price: 1, SpotPrice: 0.3,
	BootS: 8, Zones: []string{"a", "b"},
}}

// cellsSimulation is the simulation of a day. Alpha is overloaded: users submit three times as many tasks as
// its machines can run.
type cellsSimulation struct {
	variant     cellsVariant
	world       *simulation.World
	alpha, beta *simulation.Deployment
	history     *simulation.History
	jobs        []*simulation.Job // of alpha
	otherJobs   []*simulation.Job // of beta
	day         cellsDay
}

// simulateCells simulates a day of a variant.
func simulateCells(v cellsVariant, seed uint64) cellsDay {
	s := newCellsSimulation(v, seed)
	start := time.Now()
	s.scheduleSubmissions()
	s.run()
	s.day.elapsed = time.Since(start)
	s.measure()
	return s.day
}

// newCellsSimulation returns a day that has not started.
func newCellsSimulation(v cellsVariant, seed uint64) *cellsSimulation {
	world := simulation.NewWorld(seed)
	var configs []*settings.Settings
	for range numberOfCells {
		configs = append(configs, cellSettings())
	}
	group := simulation.NewGroup(world, configs, cellTypes, hostedCapacity, v.rules, 0)
	if !v.cellsEnabled {
		group.DisableCells()
	}
	return &cellsSimulation{
		variant: v, world: world, alpha: group.Cells[0], beta: group.Cells[1],
		history: simulation.NewHistory(world, group.Cells...),
		day:     cellsDay{returnedS: notReturned},
	}
}

// scheduleSubmissions schedules all submissions of the day.
func (s *cellsSimulation) scheduleSubmissions() {
	for at := firstSubmission; at < submissionEnd; at += alphaInterval {
		s.world.After(at, func() { submitNext(s.alpha, &s.jobs) })
		if (at-firstSubmission)%betaInterval == 0 {
			s.world.After(at, func() { submitNext(s.beta, &s.otherJobs) })
		}
	}
}

// submitNext submits an array, or a gang as every fourth job.
func submitNext(d *simulation.Deployment, jobs *[]*simulation.Job) {
	number := len(*jobs)
	spec := protocol.JobSpec{
		ID: protocol.JobID(fmt.Sprintf("job-%06d", number)), Class: "array", Team: "open",
		Shape: protocol.ShapeArray, Priority: "normal", Tasks: 8, Cpus: 2, MemoryGB: 2, Image: "i",
		ImageGB: 1, Spot: true, EstimateS: jobDuration.Seconds(),
	}
	if number%gangEvery == gangEvery-1 {
		spec.Class, spec.Shape, spec.Tasks = "gang", protocol.ShapeGang, 4
		spec.CheckpointS, spec.SaveS = 10, 2
	}
	*jobs = append(*jobs, d.Submit(spec, jobDuration, false))
}

// run simulates the day and samples the tasks that other cells hold every second.
func (s *cellsSimulation) run() {
	if s.variant.destroyBeta {
		s.world.Run(destroyTime)
		s.beta.Destroy()
	}
	for s.world.Now() < dayLength {
		s.world.Run(s.world.Now() + clock.Second)
		s.sample()
	}
}

// sample records the number of alpha's tasks that other cells hold.
func (s *cellsSimulation) sample() {
	delegated := s.alpha.OffloadedTasks()
	tasks := float64(delegated["beta"] + delegated["gamma"])
	s.day.delegatedOverTime = append(s.day.delegatedOverTime,
		plotter.XY{X: s.world.Now().Seconds(), Y: tasks})
	if s.variant.destroyBeta && s.day.returnedS < 0 && delegated["beta"] == 0 {
		s.day.returnedS = (s.world.Now() - destroyTime).Seconds()
	}
}

// measure fills in the results of the day.
func (s *cellsSimulation) measure() {
	day := &s.day
	for _, j := range s.jobs {
		day.starts = append(day.starts, j.StartDelay().Seconds())
		day.ends = append(day.ends, j.CompletionDelay().Seconds())
		if j.FinalStatus() != protocol.StatusDone {
			day.unfinished++
		}
	}
	if !s.variant.destroyBeta {
		for _, j := range s.otherJobs {
			day.otherStarts = append(day.otherStarts, j.StartDelay().Seconds())
		}
	}
	day.runsOutsideOrigin, day.runs = s.history.RunsOutsideOrigin()
	day.delegations, day.jobs, day.storeChanges =
		s.alpha.DelegationCount(), len(s.jobs), s.alpha.Store.Changes
	day.tasksNotCompletedOnce, day.violations = len(s.history.Check(s.jobs)), len(s.world.Violations)
}
