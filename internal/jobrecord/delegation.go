package jobrecord

import (
	"strconv"
	"strings"

	"postpoint/internal/protocol"
)

// DelegatedTo returns the value of Placement.Machine for a task that the given host cell runs. The
// placement's Incarnation is then the number of the delegation. The value has a space, which names of
// machines don't have, so it equals none of them.
func DelegatedTo(cell string) protocol.MachineName {
	return protocol.MachineName(cellMarker + " " + cell)
}

// HostCell returns the cell that runs the placement's task, or "" if this cell does.
func (p Placement) HostCell() string {
	cell, delegated := strings.CutPrefix(string(p.Machine), cellMarker+" ")
	if !delegated {
		return ""
	}
	return cell
}

// splitMachine returns the machine, or the DelegatedTo value, of a stored placement that has been split
// into words. A machine takes one word and a cell two, the marker and its name. fields begins with the
// machine's or the cell's name, so that the words after it have the same index either way. A stored
// placement on a machine has an even number of words, and so one with a cell has an odd number.
func splitMachine(words []string) (machine protocol.MachineName, fields []string) {
	switch {
	case len(words) == 0:
		return "", nil
	case len(words)%2 == 1 && words[0] == cellMarker:
		return DelegatedTo(words[1]), words[1:]
	}
	return protocol.MachineName(words[0]), words
}

// HostedJob identifies the origin cell and the delegation of a hosted job.
type HostedJob struct {
	OriginCell string
	Delegation int64 // number of the delegation, which the origin cell assigns
	// Closed means that no further task of the job may start here.
	Closed bool
}

// encode returns the text after hostedMarker: "cell delegation" or "cell delegation closed".
func (h *HostedJob) encode() string {
	text := h.OriginCell + " " + strconv.FormatInt(h.Delegation, 10)
	if h.Closed {
		text += " " + closedMarker
	}
	return text
}

// parseHostedJob parses what encode returns. It returns nil for any other text.
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

// HostedJobID returns the id under which a host cell stores a hosted job and its workers run it. It has
// dots, which ids of users' own jobs can't have, so the two never collide.
func HostedJobID(cell string, job protocol.JobID, delegation int64) protocol.JobID {
	return protocol.JobID(cell + "." + string(job) + "." + strconv.FormatInt(delegation, 10))
}

// ParseHostedJobID splits an id that HostedJobID returned; ok reports whether the id is one.
func ParseHostedJobID(id protocol.JobID) (cell string, job protocol.JobID, delegation int64, ok bool) {
	cell, idAndNumber, hasCell := strings.Cut(string(id), ".")
	originID, number, hasNumber := strings.Cut(idAndNumber, ".")
	delegation, err := strconv.ParseInt(number, 10, 64)
	return cell, protocol.JobID(originID), delegation, hasCell && hasNumber && err == nil
}
