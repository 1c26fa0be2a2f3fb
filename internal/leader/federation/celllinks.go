// Package federation runs work across cells: Origin delegates this cell's own jobs to others, Host
// runs what others have delegated here, Links is the exchange between them. Permissions and messages
// are those of package delegation; which work goes where is decided by package spill; both are pure.
package federation

import (
	"postpoint/internal/cells"
	"postpoint/internal/leader/term"
)

// Links owns the exchange with the other cells; its directory is nil if cells are switched
// off.
type Links struct {
	*term.State
	Directory *cells.Directory
	exchange  Exchanger

	ByCell map[string]*Link // by the cells' names
}

// NewLinks makes links that are switched off until they are connected.
func NewLinks(term *term.State) *Links { return &Links{State: term} }

// Connect switches cells on.
func (cl *Links) Connect(directory *cells.Directory, exchange Exchanger) {
	cl.Directory, cl.exchange = directory, exchange
}

// Enabled tells that this cell's controllers all know of cells.
func (cl *Links) Enabled() bool { return cl.Directory != nil && cl.Format.Cells }

// Begin forgets what was known in earlier terms.
func (cl *Links) Begin() {
	cl.ByCell = map[string]*Link{}
	if cl.Directory == nil {
		return
	}
	for _, c := range cl.Directory.Others() {
		cl.ByCell[c.Name] = &Link{name: c.Name}
	}
}

// drained tells that a cell is to give back even what runs.
func (cl *Links) drained(host string) bool {
	c := cl.Directory.Cell(host)
	return c == nil || c.Draining || cl.Directory.Own.Draining
}
