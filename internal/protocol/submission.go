package protocol

import (
	"bytes"
	"fmt"
	"math"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	// maxTasks is the largest number of tasks per job, set by the interface.
	maxTasks = 100_000
	// MaxTextBytes is the largest length of a text field, in bytes. The interface sets no limit; this one is
	// far above the lengths in use.
	MaxTextBytes = 200
	// maxTypes is the largest number of allowed machine types in a submission.
	maxTypes = 64
	// maxAmount limits amounts and durations, so that their sums stay precise enough and times stay in
	// range.
	maxAmount = 1e9
)

// Wire names of the fields of a submission, as in JobSpec's struct tags.
const (
	fieldID         = "Uid"
	fieldClass      = "Lane"
	fieldTeam       = "Desk"
	fieldShape      = "Shape"
	fieldPriority   = "Rank"
	fieldTasks      = "Legs"
	fieldCpus       = "Vcpus"
	fieldGpus       = "Gpus"
	fieldMemory     = "MemGb"
	fieldImage      = "Bundle"
	fieldImageSize  = "PullGb"
	fieldTypes      = "Fleets"
	fieldZone       = "Hall"
	fieldOneZone    = "SamePlace"
	fieldSpread     = "Spread"
	fieldSpot       = "Loaners"
	fieldEstimate   = "ExpectedS"
	fieldCheckpoint = "SnapshotS"
	fieldSave       = "FlushS"
	fieldDeadline   = "DueS"
)

// Descriptions of valid values in error messages.
const (
	expectedTypes       = "null or a short list of texts"
	expectedJobID       = "a job id"
	expectedFlag        = "true or false"
	expectedWholeNumber = "a whole number"
	expectedNumber      = "a number"
	expectedNonnegative = "a number from 0 up"
)

// DecodeSubmission decodes a submission and validates it field by field. Its error is ErrMalformed,
// ErrNotMap, a *BodyTooLargeError or a *FieldError. It returns a valid id even with an error in another
// field, so that callers recognise a retry of an accepted submission.
func DecodeSubmission(raw []byte) (JobSpec, error) {
	fields, err := decodeFields(raw)
	if err != nil {
		return JobSpec{}, err
	}
	p := submissionParser{fields: fields}
	id := JobID(p.text(fieldID))
	if p.err == nil && !ValidJobID(id) {
		return JobSpec{}, &FieldError{Field: fieldID, Problem: FieldUnacceptable, Expected: expectedJobID}
	}
	spec := p.parse()
	spec.ID = id
	p.checkChoices(&spec)
	if spec.IsService() {
		// Replicas neither complete nor save checkpoints, so these fields have no meaning for them.
		spec.EstimateS, spec.CheckpointS, spec.SaveS, spec.DeadlineS = 0, 0, 0, nil
	}
	return spec, p.err
}

// decodeFields decodes a submission into a map from wire names to values.
func decodeFields(raw []byte) (map[string]any, error) {
	if len(raw) > MaxBodyBytes {
		return nil, &BodyTooLargeError{Limit: MaxBodyBytes}
	}
	if err := CheckWellFormed(raw); err != nil {
		return nil, err
	}
	r := bytes.NewReader(raw)
	decoder := msgpack.NewDecoder(r)
	decoder.UseLooseInterfaceDecoding(true)
	content, err := decoder.DecodeInterface()
	if err != nil {
		return nil, ErrMalformed
	}
	fields, ok := content.(map[string]any)
	if !ok || r.Len() > 0 {
		return nil, ErrNotMap
	}
	return fields, nil
}

// submissionParser converts the fields of a submission and keeps the first error.
type submissionParser struct {
	fields map[string]any
	err    error
}

// parse converts all fields except the id.
func (p *submissionParser) parse() JobSpec {
	// The interface's order of fields determines which error users receive, so the calls keep that order.
	return JobSpec{
		Class:       p.text(fieldClass),
		Team:        p.text(fieldTeam),
		Shape:       p.text(fieldShape),
		Priority:    p.text(fieldPriority),
		Tasks:       p.count(fieldTasks),
		Cpus:        p.amount(fieldCpus),
		Gpus:        p.amount(fieldGpus),
		MemoryGB:    p.amount(fieldMemory),
		Image:       p.text(fieldImage),
		ImageGB:     p.amount(fieldImageSize),
		Types:       p.texts(fieldTypes),
		Zone:        p.optionalText(fieldZone),
		OneZone:     p.flag(fieldOneZone),
		Spread:      p.flag(fieldSpread),
		Spot:        p.flag(fieldSpot),
		EstimateS:   p.amount(fieldEstimate),
		CheckpointS: p.amount(fieldCheckpoint),
		SaveS:       p.amount(fieldSave),
		DeadlineS:   p.optionalAmount(fieldDeadline),
	}
}

// checkChoices validates the fields that allow only some values of their type.
func (p *submissionParser) checkChoices(spec *JobSpec) {
	shapes := []string{ShapeArray, ShapeGang, ShapeService}
	if !slices.Contains(shapes, spec.Shape) {
		p.fail(fieldShape, FieldUnknownChoice, fmt.Sprint(shapes))
	}
	if PriorityOf(spec.Priority) < 0 {
		p.fail(fieldPriority, FieldUnknownChoice, fmt.Sprint(Priorities))
	}
	if spec.Tasks < 1 || spec.Tasks > maxTasks {
		p.fail(fieldTasks, FieldUnacceptable, fmt.Sprintf("from 1 to %d", maxTasks))
	}
}

// fail records a field error unless there is an earlier error.
func (p *submissionParser) fail(field string, problem FieldProblem, expected string) {
	if p.err == nil {
		p.err = &FieldError{Field: field, Problem: problem, Expected: expected}
	}
}

// text returns a required text.
func (p *submissionParser) text(field string) string {
	s, ok := p.fields[field].(string)
	if !ok || !validText(s) {
		p.fail(field, FieldInvalid, fmt.Sprintf("a text of 1 to %d bytes", MaxTextBytes))
	}
	return s
}

// validText reports whether a text is neither empty nor too long.
func validText(s string) bool { return s != "" && len(s) <= MaxTextBytes }

// optionalText returns a text, or "" for null or a missing field.
func (p *submissionParser) optionalText(field string) string {
	if p.fields[field] == nil {
		return ""
	}
	return p.text(field)
}

// texts returns a list of texts, or nil for null or a missing field.
func (p *submissionParser) texts(field string) []string {
	value := p.fields[field]
	if value == nil {
		return nil
	}
	list, ok := value.([]any)
	if !ok || len(list) > maxTypes {
		p.fail(field, FieldInvalid, expectedTypes)
		return nil
	}
	texts := make([]string, 0, len(list))
	for _, element := range list {
		s, ok := element.(string)
		if !ok || !validText(s) {
			p.fail(field, FieldInvalid, expectedTypes)
		}
		texts = append(texts, s)
	}
	return texts
}

// flag returns a required boolean.
func (p *submissionParser) flag(field string) bool {
	b, ok := p.fields[field].(bool)
	if !ok {
		p.fail(field, FieldInvalid, expectedFlag)
	}
	return b
}

// count returns a required whole number. Its callers check the range.
func (p *submissionParser) count(field string) int {
	switch n := p.fields[field].(type) {
	case int64:
		return int(n)
	case uint64:
		return int(min(n, math.MaxInt32))
	}
	p.fail(field, FieldInvalid, expectedWholeNumber)
	return 0
}

// amount returns a required number from 0 to maxAmount.
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
		p.fail(field, FieldInvalid, expectedNumber)
		return 0
	}
	if !(f >= 0 && f <= maxAmount) { // NaN fails both comparisons
		p.fail(field, FieldInvalid, expectedNonnegative)
		return 0
	}
	return f
}

// optionalAmount returns an amount, or nil for null or a missing field.
func (p *submissionParser) optionalAmount(field string) *float64 {
	if p.fields[field] == nil {
		return nil
	}
	amount := p.amount(field)
	return &amount
}
