package main

import (
	"fmt"
	"slices"
	"strings"

	"postpoint/internal/htmlreport"
)

// firstCellsSeed is the seed of the first day of each variant.
const firstCellsSeed = 100

// cellsCommand compares variants of offloading among three cells, one of which is overloaded.
type cellsCommand struct{ outputFlags }

// Run simulates all variants, prints their results and writes the report.
func (c *cellsCommand) Run() error {
	var rows [][]string
	var starts, delegated []htmlreport.Series
	for _, v := range cellsVariants {
		sum, returned, first := c.simulate(v)
		starts = append(starts, htmlreport.Distribution(v.name, sum.starts))
		if v.rules != "" {
			delegated = append(delegated,
				htmlreport.Series{Name: v.name, Points: first.delegatedOverTime, Steps: true})
		}
		rows = append(rows, c.row(v, sum, returned))
	}
	for _, row := range rows {
		fmt.Println(strings.Join(row, " | "))
	}
	return c.write(rows, starts, delegated)
}

// simulate simulates a variant's days. It returns the sum of their results with sorted delays, the times in
// seconds after which the origin cell had got back its tasks from the lost cell, and the result of the first
// day.
func (c *cellsCommand) simulate(v cellsVariant) (sum cellsDay, returned []string, first cellsDay) {
	for seed := range c.Seeds {
		day := simulateCells(v, firstCellsSeed+seed)
		if seed == 0 {
			first = day
		}
		if day.returnedS >= 0 {
			returned = append(returned, fmt.Sprintf("%.0f", day.returnedS))
		}
		sum.add(day)
	}
	slices.Sort(sum.starts)
	slices.Sort(sum.ends)
	slices.Sort(sum.otherStarts)
	return sum, returned, first
}

// cellsHeader has the headings of the columns of row.
var cellsHeader = []string{
	"variant", "alpha's jobs begin after, s (half, nine in ten)", "end after, s", "beta's own begin after, s",
	"share of runs elsewhere", "delegations a job", "tasks not exactly once", "rules broken", "unfinished",
	"beta's work back after, s", "alpha's changes of state", "processor, s a day (all stand-ins)",
}

// row returns a variant's row of the table with the columns of cellsHeader.
func (c *cellsCommand) row(v cellsVariant, sum cellsDay, returned []string) []string {
	days := float64(c.Seeds)
	return []string{
		v.name, quantiles(sum.starts), quantiles(sum.ends), quantiles(sum.otherStarts),
		fmt.Sprintf("%.2f", float64(sum.runsOutsideOrigin)/float64(max(sum.runs, 1))),
		fmt.Sprintf("%.2f", float64(sum.delegations)/float64(sum.jobs)),
		fmt.Sprintf("%d of %d", sum.tasksNotCompletedOnce, sum.jobs),
		fmt.Sprint(sum.violations), fmt.Sprint(sum.unfinished),
		strings.Join(returned, " "),
		fmt.Sprintf("%.0f", float64(sum.storeChanges)/days),
		fmt.Sprintf("%.2f", sum.elapsed.Seconds()/days),
	}
}

// write writes the report.
func (c *cellsCommand) write(rows [][]string, starts, delegated []htmlreport.Series) error {
	r := htmlreport.Report{Title: "Three cells, one of them overloaded (simulated)"}
	text := fmt.Sprintf("%d days of each variant. Users submit an array of eight tasks, or a gang of four, "+
		"to alpha every five seconds, about three times its capacity; beta has some jobs of its own.",
		c.Seeds)
	r.Table("Figures", text, cellsHeader, rows)
	err := r.Lines("Starts", "The share of alpha's jobs that have started.",
		"seconds from the submission", "share", starts...)
	if err != nil {
		return err
	}
	err = r.Lines("Lent", "Alpha's tasks that other cells hold, on the first day.",
		"seconds", "tasks", delegated...)
	if err != nil {
		return err
	}
	return r.Write(c.Report)
}

// quantiles returns the median and the ninth decile, "-" without values.
func quantiles(sorted []float64) string {
	if len(sorted) == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f, %.1f", sorted[len(sorted)/2], sorted[len(sorted)*9/10])
}
