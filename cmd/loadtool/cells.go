package main

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/plot/plotter"

	"postpoint/internal/clock"
	"postpoint/internal/protocol"
	"postpoint/internal/report"
	"postpoint/internal/settings"
	"postpoint/internal/testkit"
)

type cellsCommand struct{ outputFlags }

// cellsVariant is how the cells stand to each other.
type cellsVariant struct {
	name   string
	rules  string
	on     bool // with a cells file at all
	broken bool // the cell that helps most is lost in the middle
}

var cellsVariants = []cellsVariant{
	{name: "cells off", on: false},
	{name: "on, nothing may spill", on: true},
	{name: "spilling", on: true, rules: spillRules},
	{name: "spilling, beta lost at 100 s", on: true, rules: spillRules, broken: true},
}

const spillRules = "[[spill]]\nfrom = \"alpha\"\nto = [\"beta\", \"gamma\"]\n"

// cellsDay is what one day gave.
type cellsDay struct {
	starts             []float64 // of the filled cell's jobs, in seconds from their submission
	others             []float64 // of the other cells' own jobs
	ends               []float64
	elsewhere, runs    int
	delegations, jobs  int
	wrong              int
	changes            int     // of the filled cell's state service
	backS              float64 // until nothing of a lost cell's work was its any more
	processor          time.Duration
	lentOverTime       plotter.XYs
	unfinished, broken int
}

func cellSettings() *settings.Settings {
	s := &settings.Settings{}
	s.Deployment = settings.Deployment{
		Teams:         []settings.Team{{Name: "open"}},
		Workers:       settings.Workers{ReportS: 2.5, LeaseS: 16, GangWaitS: 40, GangPeerS: 5, CancelS: 36},
		State:         settings.State{Rps: 100, WriteRps: 30, ValueKb: 32, TxnOps: 12},
		Cloud:         settings.Cloud{Rps: 8, ListLagS: 4},
		MachineLimits: settings.MachineLimits{CPU: 0.1},
	}
	return s
}

var cellTypes = []protocol.MachineType{{Name: "small", Cpus: 8, MemoryGB: 32, CacheGB: 50, FetchGBPerS: 1, Price: 1, SpotPrice: 0.3,
	BootS: 8, Zones: []string{"a", "b"}}}

// playCells plays a day on which alpha has three times as much to do as it has machines for.
func playCells(v cellsVariant, seed uint64) cellsDay {
	const (
		filling = 240 * clock.Second
		end     = 900 * clock.Second
	)
	w := testkit.NewWorld(seed)
	g := testkit.NewGroup(w, []*settings.Settings{cellSettings(), cellSettings(), cellSettings()}, cellTypes,
		"guests = { cpus = 64.0 }", v.rules, 0)
	if !v.on {
		g.SwitchOff()
	}
	h := testkit.NewHistory(w, g.Cells...)
	began := time.Now()
	var jobs, others []*testkit.Job
	submit := func(d *testkit.Deployment, list *[]*testkit.Job) {
		spec := protocol.JobSpec{ID: fmt.Sprintf("job-%06d", len(*list)), Class: "array", Team: "open", Shape: protocol.ShapeArray, Rank: "normal",
			Tasks: 8, Cpus: 2, MemoryGB: 2, Image: "i", ImageGB: 1, Spot: true, EstimateS: 40}
		if len(*list)%4 == 3 {
			spec.Class, spec.Shape, spec.Tasks, spec.CheckpointS, spec.SaveS = "gang", protocol.ShapeGang, 4, 10, 2
		}
		*list = append(*list, d.Submit(spec, 40*clock.Second, false))
	}
	for at := 20 * clock.Second; at < filling; at += 5 * clock.Second {
		w.After(at, func() { submit(g.Cells[0], &jobs) })
		if at%(30*clock.Second) == 20*clock.Second {
			w.After(at, func() { submit(g.Cells[1], &others) })
		}
	}
	day := cellsDay{backS: -1}
	if v.broken {
		w.Run(100 * clock.Second)
		g.Cells[1].Lose()
	}
	for w.Now() < end {
		w.Run(w.Now() + clock.Second)
		lent := g.Cells[0].Lent()
		day.lentOverTime = append(day.lentOverTime, plotter.XY{X: w.Now().Seconds(), Y: float64(lent["beta"] + lent["gamma"])})
		if v.broken && day.backS < 0 && lent["beta"] == 0 {
			day.backS = (w.Now() - 100*clock.Second).Seconds()
		}
	}
	day.processor = time.Since(began)
	for _, j := range jobs {
		day.starts = append(day.starts, j.Began().Seconds())
		day.ends = append(day.ends, j.Ended().Seconds())
		if j.Told() != protocol.StatusDone {
			day.unfinished++
		}
	}
	for _, j := range others {
		if !v.broken {
			day.others = append(day.others, j.Began().Seconds())
		}
	}
	day.elsewhere, day.runs = h.Elsewhere()
	day.delegations, day.jobs, day.changes = g.Cells[0].Delegations(), len(jobs), g.Cells[0].State.Changes
	day.wrong, day.broken = len(h.Judge(jobs)), len(w.Broken)
	return day
}

// Run plays all variants and writes the report.
func (c *cellsCommand) Run() error {
	r := report.Report{Title: "Three cells, one of them filled (simulated)"}
	var rows [][]string
	var starts, lent []report.Series
	for _, v := range cellsVariants {
		var all cellsDay
		backs := []string{}
		for seed := range c.Seeds {
			day := playCells(v, 100+seed)
			all.starts, all.ends, all.others = append(all.starts, day.starts...), append(all.ends, day.ends...), append(all.others, day.others...)
			all.elsewhere += day.elsewhere
			all.runs += day.runs
			all.delegations += day.delegations
			all.jobs += day.jobs
			all.wrong += day.wrong
			all.broken += day.broken
			all.unfinished += day.unfinished
			all.changes += day.changes
			all.processor += day.processor
			if day.backS >= 0 {
				backs = append(backs, fmt.Sprintf("%.0f", day.backS))
			}
			if seed == 0 && v.rules != "" {
				lent = append(lent, report.Series{Name: v.name, Points: day.lentOverTime, Steps: true})
			}
		}
		slices.Sort(all.starts)
		slices.Sort(all.ends)
		slices.Sort(all.others)
		starts = append(starts, report.Distribution(v.name, all.starts))
		rows = append(rows, []string{v.name, quantiles(all.starts), quantiles(all.ends), quantiles(all.others),
			fmt.Sprintf("%.2f", float64(all.elsewhere)/float64(max(all.runs, 1))), fmt.Sprintf("%.2f", float64(all.delegations)/float64(all.jobs)),
			fmt.Sprintf("%d of %d", all.wrong, all.jobs), fmt.Sprint(all.broken), fmt.Sprint(all.unfinished), strings.Join(backs, " "),
			fmt.Sprintf("%.0f", float64(all.changes)/float64(c.Seeds)), fmt.Sprintf("%.2f", all.processor.Seconds()/float64(c.Seeds))})
	}
	header := []string{"variant", "alpha's jobs begin after, s (half, nine in ten)", "end after, s", "beta's own begin after, s", "share of runs elsewhere", "delegations a job",
		"tasks not exactly once", "rules broken", "unfinished", "beta's work back after, s", "alpha's changes of state", "processor, s a day (all stand-ins)"}
	r.Table("Figures", fmt.Sprintf("%d days of each kind. Alpha gets an array of eight tasks, or a gang of four, every five seconds, "+
		"about three times what its machines can do; beta has some work of its own.", c.Seeds), header, rows)
	if err := r.Lines("Starts", "The share of alpha's jobs that have begun.", "seconds from the submission", "share", starts...); err != nil {
		return err
	}
	if err := r.Lines("Lent", "Alpha's tasks with other cells, on the first day.", "seconds", "tasks", lent...); err != nil {
		return err
	}
	for _, row := range rows {
		fmt.Println(strings.Join(row, " | "))
	}
	return r.Write(c.Report)
}

// quantiles are the median and the ninth decile.
func quantiles(sorted []float64) string {
	if len(sorted) == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f, %.1f", sorted[len(sorted)/2], sorted[len(sorted)*9/10])
}
