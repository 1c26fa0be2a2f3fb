package main

import (
	"errors"
	"net/http"
	"time"

	"postpoint/internal/protocol"
)

func init() { scenarios["swarm"] = manySmallTasks }

const (
	// swarmTasks is the number of tasks of the large array: the page names arrays of up to 2,000 tasks.
	swarmTasks = 2000
	// taskRuns is how long each task really runs.
	taskRuns = 30 * time.Second
	// watched is when the case ends: a job that waits for 90 s while a machine that fits has room breaks the
	// rule, and the first job waits from about second 20 on.
	watched = 110 * time.Second
)

// manySmallTasks runs a job on a machine, and then submits an array whose tasks are so small that all of
// them fit on the same machine.
func manySmallTasks(d *deployment, trouble bool) (int, error) {
	d.cloud.types = []protocol.MachineType{{Name: "aquila", Cpus: 64, MemoryGB: 256, CacheGB: 100, FetchGBPerS: 0.5,
		Price: 4.66, SpotPrice: 1.3, BootS: 30, Zones: []string{"somes"}}}
	d.cloud.capacity = map[string]int{"aquila/somes": 1}
	if err := d.start(); err != nil {
		return notRun, err
	}
	first, large := array("job-000100", 1, 2, 30), array("job-000101", swarmTasks, 0.03, 30)
	large.MemoryGB = 0.1
	if !trouble {
		large.Tasks = swarmTasks / 100
	}
	if d.submit(d.nodes[0], first, taskRuns) != http.StatusCreated {
		return notRun, errors.New("the first job was not accepted")
	}
	runs := func() bool { return d.history.onMachine("job-000100/0") != "" }
	if err := d.await("the first job runs", 30*time.Second, runs); err != nil {
		return notRun, err
	}
	if d.submit(d.nodes[0], large, taskRuns) != http.StatusCreated {
		return notRun, errors.New("the array was not accepted")
	}
	for d.rec.now() < watched {
		time.Sleep(5 * time.Second)
		_, state := d.poll(d.nodes[1], first.ID)
		if _, other := d.poll(d.nodes[1], large.ID); state == protocol.StatusDone && other == protocol.StatusDone {
			return held, nil
		}
	}
	lost := d.history.ended("lease expired", first.ID, large.ID)
	done := d.history.ended(protocol.CauseDone, first.ID, large.ID)
	d.rec.note("%d runs of tasks ended with the machine's lease, %d with the task's completion", lost, done)
	if lost > 0 && done == 0 {
		d.rec.note("RULE: no task of the two accepted jobs has completed %v after the start of the first one of %v",
			watched, taskRuns)
		return broken, nil
	}
	return held, nil
}
