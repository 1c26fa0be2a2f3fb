package simulation

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"

	"postpoint/internal/clock"
	"postpoint/internal/protocol"
)

// maxHung is how many workers of cancelled jobs hang at most.
const maxHung = 3

// cancelRunning has users cancel up to n running jobs within a fifth of a second, while some of their
// workers hang for a time.
func cancelRunning(d *Deployment, n, hang clock.Micros) {
	w := d.World
	hung := 0
	for _, j := range d.Jobs() {
		if n == 0 || !j.accepted() || j.cancelRequested || j.finalStatus != "" || !d.onMachines(j) {
			continue
		}
		n--
		w.After(w.Between(0, 200*clock.Millisecond), func() { d.Cancel(j) })
		for t := range j.spec.Tasks {
			for _, m := range sortedKeys(j.machines[t]) {
				if hung++; hang > 0 && hung <= maxHung && !m.Hung {
					m.Hung = true
					w.After(hang, m.Resume)
				}
			}
		}
	}
}

// sendInvalidRequests has users repeat submissions, cancel finished jobs, and submit jobs that can't run
// or lack a field.
func sendInvalidRequests(d *Deployment) {
	for i, j := range d.Jobs() {
		switch {
		case j.accepted() && j.finalStatus == "":
			d.submit(j)
		case j.finalStatus == protocol.StatusDone && i%3 == 0:
			d.Cancel(j)
		}
	}
	good := array("job-900001", "limited", 2, 2, 5)
	huge, greedy, unknown := good, good, good
	huge.MemoryGB = 4096
	greedy.Shape, greedy.Tasks, greedy.Gpus = protocol.ShapeGang, 5, 1
	unknown.Team = "nobody"
	for _, s := range []protocol.JobSpec{huge, greedy, unknown} {
		d.SubmitInvalid(protocol.Encode(s))
	}
	for _, field := range submissionFields {
		d.SubmitInvalid(withoutField(good, field))
	}
}

// submissionFields are the wire names of fields without which a submission is invalid.
var submissionFields = []string{
	"Lane", "Desk", "Shape", "Rank", "Legs", "Vcpus", "Gpus", "MemGb", "Bundle", "PullGb", "SamePlace",
	"Spread", "Loaners", "ExpectedS", "SnapshotS", "FlushS",
}

// withoutField encodes a submission that lacks a field, the others in the order of their names.
func withoutField(spec protocol.JobSpec, field string) []byte {
	var fields map[string]any
	if err := protocol.Decode(protocol.Encode(spec), &fields); err != nil {
		panic(err)
	}
	delete(fields, field)
	var encoded bytes.Buffer
	encoder := msgpack.NewEncoder(&encoded)
	encoder.SetSortMapKeys(true)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(fields); err != nil {
		panic(err)
	}
	return encoded.Bytes()
}
