package intake

import (
	"bytes"
	"fmt"
	"math"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"postpoint/internal/fleet"
	"postpoint/internal/ledger"
	"postpoint/internal/protocol"
	"postpoint/internal/settings"
)

const (
	maxTasks = 100_000
	maxText  = 200
	maxTypes = 64
	// maxAmount keeps sums of amounts exact enough and times in range.
	maxAmount = 1e9
)

// parseSpec checks a submission field by field. The id comes back whenever it
// is well formed, so that a repeat of an accepted job can be recognised.
func parseSpec(raw []byte) (spec protocol.JobSpec, err error) {
	if len(raw) > protocol.MaxBody {
		return spec, fmt.Errorf("the body is over %d bytes", protocol.MaxBody)
	}
	if err := protocol.Check(raw); err != nil {
		return spec, err
	}
	r := bytes.NewReader(raw)
	dec := msgpack.NewDecoder(r)
	dec.UseLooseInterfaceDecoding(true)
	content, err := dec.DecodeInterface()
	if err != nil {
		return spec, fmt.Errorf("not MessagePack")
	}
	fields, ok := content.(map[string]any)
	if !ok || r.Len() > 0 {
		return spec, fmt.Errorf("not a MessagePack map with text keys")
	}
	p := parser{fields: fields}
	spec.ID = p.text("Uid")
	if p.err == nil && !protocol.ValidJobID(spec.ID) {
		spec.ID = ""
		return spec, fmt.Errorf("field Uid is not a job id")
	}
	spec.Class = p.text("Lane")
	spec.Team = p.text("Desk")
	spec.Shape = p.text("Shape")
	spec.Rank = p.text("Rank")
	spec.Tasks = p.count("Legs")
	spec.Cpus = p.amount("Vcpus")
	spec.Gpus = p.amount("Gpus")
	spec.MemoryGB = p.amount("MemGb")
	spec.Image = p.text("Bundle")
	spec.ImageGB = p.amount("PullGb")
	spec.Types = p.texts("Fleets")
	if fields["Hall"] != nil {
		spec.Zone = p.text("Hall")
	}
	spec.OneZone = p.flag("SamePlace")
	spec.Spread = p.flag("Spread")
	spec.Spot = p.flag("Loaners")
	spec.EstimateS = p.amount("ExpectedS")
	spec.CheckpointS = p.amount("SnapshotS")
	spec.SaveS = p.amount("FlushS")
	if fields["DueS"] != nil {
		due := p.amount("DueS")
		spec.DeadlineS = &due
	}
	shapes := []string{protocol.ShapeArray, protocol.ShapeGang, protocol.ShapeService}
	if p.err == nil && !slices.Contains(shapes, spec.Shape) {
		p.err = fmt.Errorf("field Shape is none of %v", shapes)
	}
	if p.err == nil && protocol.RankOf(spec.Rank) < 0 {
		p.err = fmt.Errorf("field Rank is none of %v", protocol.Ranks)
	}
	if p.err == nil && (spec.Tasks < 1 || spec.Tasks > maxTasks) {
		p.err = fmt.Errorf("field Legs is not from 1 to %d", maxTasks)
	}
	return spec, p.err
}

// parser keeps the first error.
type parser struct {
	fields map[string]any
	err    error
}

func (p *parser) fail(field, what string) {
	if p.err == nil {
		p.err = fmt.Errorf("%s is not %s", field, what)
	}
}

func (p *parser) text(field string) string {
	s, ok := p.fields[field].(string)
	if !ok || s == "" || len(s) > maxText {
		p.fail(field, fmt.Sprintf("a text of 1 to %d bytes", maxText))
	}
	return s
}

func (p *parser) texts(field string) []string {
	value := p.fields[field]
	if value == nil {
		return nil
	}
	list, ok := value.([]any)
	if !ok || len(list) > maxTypes {
		p.fail(field, "null or a short list of texts")
		return nil
	}
	texts := make([]string, 0, len(list))
	for _, e := range list {
		s, ok := e.(string)
		if !ok || s == "" || len(s) > maxText {
			p.fail(field, "null or a short list of texts")
		}
		texts = append(texts, s)
	}
	return texts
}

func (p *parser) flag(field string) bool {
	b, ok := p.fields[field].(bool)
	if !ok {
		p.fail(field, "true or false")
	}
	return b
}

func (p *parser) count(field string) int {
	switch n := p.fields[field].(type) {
	case int64:
		return int(n)
	case uint64:
		return int(min(n, math.MaxInt32))
	}
	p.fail(field, "a whole number")
	return 0
}

func (p *parser) amount(field string) float64 {
	var f float64
	switch n := p.fields[field].(type) {
	case float64:
		f = n
	case float32:
		f = float64(n)
	case int64:
		f = float64(n)
	case uint64:
		f = float64(n)
	default:
		p.fail(field, "a number")
		return 0
	}
	if !(f >= 0 && f <= maxAmount) { // NaN fails both
		p.fail(field, "a number from 0 up")
		return 0
	}
	return f
}

// neverRuns says why a job can never run, or "".
func neverRuns(spec *protocol.JobSpec, dep *settings.Deployment, types []protocol.MachineType) string {
	team, ok := dep.Team(spec.Team)
	if !ok {
		return "unknown team"
	}
	if spec.Types != nil && len(spec.Types) == 0 || !fleet.Fits(types, spec) {
		return "a task fits no allowed machine type"
	}
	n := 1
	if spec.Gang() {
		n = spec.Tasks
	}
	k := float64(n)
	if team.CpusMax > 0 && k*spec.Cpus > team.CpusMax || team.GpusMax > 0 && k*spec.Gpus > team.GpusMax {
		return "needs more than the team's limit"
	}
	if spec.Gang() && spec.Spread && spec.Tasks > 1 && (spec.OneZone || spec.Zone != "") {
		return "its tasks can't be both spread and in one zone"
	}
	if ledger.New(*spec, 0).Room(int(dep.State.ValueKb*1024)) < n {
		return "too large to be recorded while it runs"
	}
	return ""
}
