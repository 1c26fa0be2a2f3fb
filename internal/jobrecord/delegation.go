package jobrecord

import (
	"strconv"
	"strings"

	"postpoint/internal/protocol"
)

// DelegatedTo returns what a placement has in place of a machine for a task that the given cell
// runs. The placement's Incarnation is then the number of the delegation. Names of machines have no
// spaces, so that it can't be taken for one.
func DelegatedTo(cell string) protocol.MachineName {
	return protocol.MachineName(cellMarker + " " + cell)
}

// HostCell returns the cell that runs the placement's task, or "" if it is this one.
func (p Placement) HostCell() string {
	cell, delegated := strings.CutPrefix(string(p.Machine), cellMarker+" ")
	if !delegated {
		return ""
	}
	return cell
}

// splitMachine returns the machine or the cell of a placement's words. The first of the remaining
// words stands for it, so that what follows has the same index either way: a machine takes one
// word, and every placement then has an even number of them; a cell takes two.
func splitMachine(words []string) (machine protocol.MachineName, rest []string) {
	switch {
	case len(words) == 0:
		return "", nil
	case len(words)%2 == 1 && words[0] == cellMarker:
		return DelegatedTo(words[1]), words[1:]
	}
	return protocol.MachineName(words[0]), words
}

// HostedJob says to which cell and delegation a hosted job belongs.
type HostedJob struct {
	OriginCell string // the origin cell
	Delegation int64  // of the delegation
	// Closed hosted jobs start no further tasks.
	Closed bool
}

// encode returns the text that follows the marker: "cell delegation" or "cell delegation closed".
func (g *HostedJob) encode() string {
	text := g.OriginCell + " " + strconv.FormatInt(g.Delegation, 10)
	if g.Closed {
		text += " " + closedMarker
	}
	return text
}

// parseHostedJob reads what encode wrote, or returns nil.
func parseHostedJob(text string) *HostedJob {
	words := strings.Fields(text)
	closed := len(words) == 3 && words[2] == closedMarker
	if len(words) != 2 && !closed {
		return nil
	}
	number, err := strconv.ParseInt(words[1], 10, 64)
	if err != nil {
		return nil
	}
	return &HostedJob{OriginCell: words[0], Delegation: number, Closed: closed}
}

// HostedJobID returns the id under which a host cell keeps a hosted job and its workers run it. It has
// dots, which no id that a user may choose has, so that the two can't clash.
func HostedJobID(cell string, job protocol.JobID, delegation int64) protocol.JobID {
	return protocol.JobID(cell + "." + string(job) + "." + strconv.FormatInt(delegation, 10))
}

// ParseHostedJobID splits an id that HostedJobID made.
func ParseHostedJobID(id protocol.JobID) (cell string, job protocol.JobID, delegation int64, ok bool) {
	cell, rest, hasCell := strings.Cut(string(id), ".")
	originID, number, hasNumber := strings.Cut(rest, ".")
	delegation, err := strconv.ParseInt(number, 10, 64)
	return cell, protocol.JobID(originID), delegation, hasCell && hasNumber && err == nil
}
