package ledger

import (
	"strconv"
	"strings"
)

// What a record says of other cells has words and spaces where versions that know no cells
// expect a machine's name: they take such a record for malformed and leave its job alone.

// cellMark stands before the name of a cell. Machines' names have no spaces.
const cellMark = "cell "

// DelegatedTo is what a placement has in place of a machine for tasks that another cell
// runs; the placement's session is then the delegation's number.
func DelegatedTo(host string) string { return cellMark + host }

// Host is the cell that runs the placement's task, "" if it is this one.
func (p Placement) Host() string {
	host, delegated := strings.CutPrefix(p.Machine, cellMark)
	if !delegated {
		return ""
	}
	return host
}

// placeOf takes the words of a delegated placement together, so that the cell stands where
// others have their machine.
func placeOf(fields []string) (machine string, rest []string) {
	switch {
	case len(fields) == 0:
		return "", nil
	case len(fields)%2 == 1 && fields[0]+" " == cellMark: // one word more than others have
		return DelegatedTo(fields[1]), fields[1:]
	}
	return fields[0], fields
}

// Guest says whose a job is that another cell has delegated.
type Guest struct {
	Home   string // cell
	Number int64  // of the delegation
	// Closed guests start nothing more.
	Closed bool
}

const guestClosed = "closed"

func (g *Guest) text() string {
	text := g.Home + " " + strconv.FormatInt(g.Number, 10)
	if g.Closed {
		text += " " + guestClosed
	}
	return text
}

// parseGuest reads what text wrote, or gives nil.
func parseGuest(text string) *Guest {
	fields := strings.Fields(text)
	if len(fields) < 2 || len(fields) > 3 || len(fields) == 3 && fields[2] != guestClosed {
		return nil
	}
	number, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return nil
	}
	return &Guest{Home: fields[0], Number: number, Closed: len(fields) == 3}
}

// GuestID is the id under which a host keeps a delegated job and its workers run it. It has
// dots, which no id that a user may choose has, so that it clashes with none.
func GuestID(home, job string, number int64) string {
	return home + "." + job + "." + strconv.FormatInt(number, 10)
}

// ParseGuestID splits such an id.
func ParseGuestID(id string) (home, job string, number int64, ok bool) {
	home, rest, hasHome := strings.Cut(id, ".")
	job, text, hasNumber := strings.Cut(rest, ".")
	number, err := strconv.ParseInt(text, 10, 64)
	return home, job, number, hasHome && hasNumber && err == nil
}
