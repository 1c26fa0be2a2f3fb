package simulation

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"

	"postpoint/internal/clock"
	"postpoint/internal/protocol"
)

// maxHungWorkers is how many workers of cancelled jobs hang at most.
const maxHungWorkers = 3

// cancelRunning makes users cancel up to n running jobs within a fifth of a second. If hang isn't 0, some of
// their workers hang for that time.
func cancelRunning(d *Deployment, n, hang clock.Micros) {
	w := d.World
	hung := 0
	for _, j := range d.Jobs() {
		if n == 0 || !j.accepted() || j.cancelRequested || j.finalStatus != "" || !d.hasTaskOnMachine(j) {
			continue
		}
		n--
		w.After(w.Between(0, 200*clock.Millisecond), func() { d.Cancel(j) })
		for t := range j.spec.Tasks {
			for _, m := range sortedKeys(j.machines[t]) {
				if hung++; hang > 0 && hung <= maxHungWorkers && !m.Hung {
					m.Hung = true
					w.After(hang, m.Resume)
				}
			}
		}
	}
}

// sendInvalidRequests makes users repeat submissions, cancel finished jobs, and submit jobs that can't run or
// lack a field.
func sendInvalidRequests(d *Deployment) {
	for i, j := range d.Jobs() {
		switch {
		case j.accepted() && j.finalStatus == "":
			d.submit(j)
		case j.finalStatus == protocol.StatusDone && i%3 == 0:
			d.Cancel(j)
		}
	}
	valid := arraySpec("job-900001", "limited", 2, 2, 5)
	tooMuchMemory, gangBeyondQuota, unknownTeam := valid, valid, valid
	tooMuchMemory.MemoryGB = 4096
	gangBeyondQuota.Shape, gangBeyondQuota.Tasks, gangBeyondQuota.Gpus = protocol.ShapeGang, 5, 1
	unknownTeam.Team = "nobody"
	for _, s := range []protocol.JobSpec{tooMuchMemory, gangBeyondQuota, unknownTeam} {
		d.SubmitInvalid(protocol.Encode(s))
	}
	for _, field := range submissionFields {
		d.SubmitInvalid(withoutField(valid, field))
	}
}

// submissionFields lists the wire names of fields without which a submission is invalid.
var submissionFields = []string{
	"Lane", "Desk", "Shape", "Rank", "Legs", "Vcpus", "Gpus", "MemGb", "Bundle", "PullGb", "SamePlace",
	"Spread", "Loaners", "ExpectedS", "SnapshotS", "FlushS",
}

// withoutField encodes a submission without one field, and the other fields in the order of their names.
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
