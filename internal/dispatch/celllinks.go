package dispatch

import "postpoint/internal/cells"

// cellLinks owns the exchange with the other cells; its directory is nil if cells are switched
// off.
type cellLinks struct {
	*leaderTerm
	directory *cells.Directory
	exchange  Exchanger

	links map[string]*cellLink // by the cells' names
}

func newCellLinks(term *leaderTerm) *cellLinks { return &cellLinks{leaderTerm: term} }

// connect switches cells on.
func (cl *cellLinks) connect(directory *cells.Directory, exchange Exchanger) {
	cl.directory, cl.exchange = directory, exchange
}

// cellsOn tells that this cell's controllers all know of cells.
func (cl *cellLinks) enabled() bool { return cl.directory != nil && cl.format.Cells }

func (cl *cellLinks) begin() {
	cl.links = map[string]*cellLink{}
	if cl.directory == nil {
		return
	}
	for _, c := range cl.directory.Others() {
		cl.links[c.Name] = &cellLink{name: c.Name}
	}
}

// drained tells that a cell is to give back even what runs.
func (cl *cellLinks) drained(host string) bool {
	c := cl.directory.Cell(host)
	return c == nil || c.Draining || cl.directory.Own.Draining
}
