package protocol

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	maxTasks = 100_000
	// MaxText bounds names of all kinds.
	MaxText  = 200
	maxTypes = 64
	// maxAmount keeps sums of amounts exact enough and times in range.
	maxAmount = 1e9
)

// DecodeSubmission checks a submission field by field. The id comes back whenever it
// is well formed, so that a repeat of an accepted job can be recognised.
func DecodeSubmission(raw []byte) (spec JobSpec, err error) {
	if len(raw) > MaxBody {
		return spec, fmt.Errorf("the body is over %d bytes", MaxBody)
	}
	if err := Check(raw); err != nil {
		return spec, err
	}
	r := bytes.NewReader(raw)
	dec := msgpack.NewDecoder(r)
	dec.UseLooseInterfaceDecoding(true)
	content, err := dec.DecodeInterface()
	if err != nil {
		return spec, ErrMalformed
	}
	fields, ok := content.(map[string]any)
	if !ok || r.Len() > 0 {
		return spec, errors.New("not a MessagePack map with text keys")
	}
	p := submissionParser{fields: fields}
	spec.ID = p.text("Uid")
	if p.err == nil && !ValidJobID(spec.ID) {
		spec.ID = ""
		return spec, errors.New("field Uid is not a job id")
	}
	p.fill(&spec)
	return spec, p.err
}

// submissionParser reads the fields of a submission and keeps the first error.
type submissionParser struct {
	fields map[string]any
	err    error
}

// fill reads all fields but the id.
func (p *submissionParser) fill(spec *JobSpec) {
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
	if p.fields["Hall"] != nil {
		spec.Zone = p.text("Hall")
	}
	spec.OneZone = p.flag("SamePlace")
	spec.Spread = p.flag("Spread")
	spec.Spot = p.flag("Loaners")
	spec.EstimateS = p.amount("ExpectedS")
	spec.CheckpointS = p.amount("SnapshotS")
	spec.SaveS = p.amount("FlushS")
	if p.fields["DueS"] != nil {
		due := p.amount("DueS")
		spec.DeadlineS = &due
	}
	p.checkChoices(spec)
	if spec.Service() {
		// Its replicas neither end nor save: an estimate, a deadline or a checkpoint interval
		// would only mislead.
		spec.EstimateS, spec.CheckpointS, spec.SaveS, spec.DeadlineS = 0, 0, 0, nil
	}
}

// checkChoices looks at the fields of which only some values are known.
func (p *submissionParser) checkChoices(spec *JobSpec) {
	shapes := []string{ShapeArray, ShapeGang, ShapeService}
	if p.err == nil && !slices.Contains(shapes, spec.Shape) {
		p.err = fmt.Errorf("field Shape is none of %v", shapes)
	}
	if p.err == nil && RankOf(spec.Rank) < 0 {
		p.err = fmt.Errorf("field Rank is none of %v", Ranks)
	}
	if p.err == nil && (spec.Tasks < 1 || spec.Tasks > maxTasks) {
		p.err = fmt.Errorf("field Legs is not from 1 to %d", maxTasks)
	}
}

func (p *submissionParser) fail(field, what string) {
	if p.err == nil {
		p.err = fmt.Errorf("%s is not %s", field, what)
	}
}

func (p *submissionParser) text(field string) string {
	s, ok := p.fields[field].(string)
	if !ok || s == "" || len(s) > MaxText {
		p.fail(field, fmt.Sprintf("a text of 1 to %d bytes", MaxText))
	}
	return s
}

func (p *submissionParser) texts(field string) []string {
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
		if !ok || s == "" || len(s) > MaxText {
			p.fail(field, "null or a short list of texts")
		}
		texts = append(texts, s)
	}
	return texts
}

func (p *submissionParser) flag(field string) bool {
	b, ok := p.fields[field].(bool)
	if !ok {
		p.fail(field, "true or false")
	}
	return b
}

func (p *submissionParser) count(field string) int {
	switch n := p.fields[field].(type) {
	case int64:
		return int(n)
	case uint64:
		return int(min(n, math.MaxInt32))
	}
	p.fail(field, "a whole number")
	return 0
}

func (p *submissionParser) amount(field string) float64 {
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
