package testkit

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"

	"postpoint/internal/clock"
	"postpoint/internal/protocol"
)

// trouble starts one random failure and ends it some time later.
func trouble(d *Deployment) {
	w := d.World
	n := d.Nodes[w.Rand.IntN(len(d.Nodes))]
	restart := func(n *Node) {
		n.Crash()
		w.After(w.Between(100*clock.Millisecond, 8*clock.Second), func() { d.StartNode(n) })
	}
	cut := func(l *Link, hold bool, d clock.Micros) {
		l.Cut, l.Hold = true, hold
		w.After(d, l.Heal)
	}
	long := w.Between(2*clock.Second, 45*clock.Second)
	var m *Worker
	if up := d.Workers(); len(up) > 0 {
		m = up[w.Rand.IntN(len(up))]
	}
	// Whoever leads is hit more often than it would be by chance.
	if w.chance(0.4) {
		for _, o := range d.Nodes {
			if o.proc.alive && o.Dispatch.Leads() {
				n = o
			}
		}
	}
	refuse := func(n *Node, d clock.Micros) {
		n.State.Refused = true
		w.After(d, func() { n.State.Refused = false })
	}
	outage := func(long clock.Micros) {
		d.State.Outage(true)
		w.After(long, func() { d.State.Outage(false) })
	}
	switch w.Rand.IntN(25) {
	case 24:
		// The state service answers slowly, and one node in time hardly ever.
		for _, o := range d.Nodes {
			o.State.Slow = w.Between(100*clock.Millisecond, 500*clock.Millisecond)
		}
		n.State.Slow = 700 * clock.Millisecond
		w.After(long, func() {
			for _, o := range d.Nodes {
				o.State.Slow = 0
			}
		})
	case 15, 16:
		// The state service refuses one node, users cancel through the others, and
		// then it is out for everybody, for longer than a cancellation may take.
		refuse(n, long)
		cancelNow(d, w.Between(1, 8), 0)
		w.After(w.Between(0, 3*clock.Second), func() { outage(w.Between(2*clock.Second, 40*clock.Second)) })
	case 17:
		refuse(n, long)
	case 18:
		share := d.State.LateWrites
		d.State.LateWrites = 0.3
		w.After(long, func() { d.State.LateWrites = share })
	case 19:
		d.CancelAtEnd = 0.5
		w.After(long, func() { d.CancelAtEnd = 0 })
	case 20:
		// Leaders change every few seconds.
		for i := range clock.Micros(5) {
			w.After(i*w.Between(2*clock.Second, 6*clock.Second), func() {
				for _, o := range d.Nodes {
					if o.proc.alive && o.Dispatch.Leads() {
						restart(o)
						return
					}
				}
			})
		}
	case 21, 22:
		// Users call off what runs, and some of its machines hang.
		cancelNow(d, 8, w.Between(0, 60*clock.Second))
	case 23:
		oddRequests(d)
	case 9, 10:
		// A node is left with the workers, which have the others as well.
		cut(&n.State, w.chance(0.5), long)
		cut(&n.Peers, false, long)
		cut(&n.Clouds, false, long)
	case 11:
		// Back within a fraction of a second, twice in a row: in the middle of
		// its own election.
		for _, at := range []clock.Micros{0, w.Between(10*clock.Millisecond, 500*clock.Millisecond)} {
			w.After(at, func() {
				n.Crash()
				w.After(w.Between(clock.Millisecond, 8*clock.Millisecond), func() { d.StartNode(n) })
			})
		}
	case 12, 13:
		// A node stands still, its clocks run on: for less than any lease, or
		// for longer than the workers'.
		n.proc.Pause(w.Between(500*clock.Millisecond, 4*clock.Second))
	case 14:
		n.proc.Pause(long)
	case 7, 8:
		// A node is left with the workers, the others with everything else.
		cut(&n.State, w.chance(0.5), long)
		cut(&n.Peers, false, long)
		for _, o := range d.Nodes {
			if o != n {
				cut(&o.Workers, false, long)
			}
		}
	case 0:
		restart(n)
	case 1:
		for _, n := range d.Nodes {
			restart(n)
		}
	case 2:
		cut(&n.State, w.chance(0.5), long)
	case 3:
		cut(&n.Workers, false, long)
	case 4:
		cut(&n.State, w.chance(0.5), long)
		cut(&n.Workers, false, long)
		cut(&n.Peers, false, long)
	case 5:
		outage(long)
	case 6:
		d.Cloud.Outage = true
		w.After(long, func() { d.Cloud.Outage = false })
	}
	if m == nil {
		return
	}
	switch w.Rand.IntN(12) {
	case 10, 11:
		m.Mute = true
		w.After(long, func() { m.Mute = false })
	case 8, 9:
		m.Unheeding = true
		w.After(long, func() { m.Unheeding = false })
	case 0, 1:
		m.Hung = true
		w.After(long, m.Resume)
	case 2, 3:
		cut(&m.Link, w.chance(0.7), long)
		cut(&m.Commands, w.chance(0.7), long)
	case 7:
		cut(&m.Commands, true, long)
	case 4:
		m.Die()
	case 5:
		d.Recall(m, w.Between(0, 12*clock.Second))
	case 6:
		m.Faulty = true
		w.After(long, func() { m.Faulty = false })
	}
}

// cancelNow has users call off up to n jobs that run, within a fifth of a second, and
// some of their machines hang that long.
func cancelNow(d *Deployment, n, hang clock.Micros) {
	w := d.World
	hung := 0
	for _, j := range d.Jobs() {
		if n == 0 || !j.accepted() || j.wantsEnd || j.told != "" || !d.onMachines(j) {
			continue
		}
		n--
		w.After(w.Between(0, 200*clock.Millisecond), func() { d.Cancel(j) })
		for t := range j.spec.Tasks {
			for _, m := range sortedKeys(j.places[t]) {
				if hung++; hang > 0 && hung <= 3 && !m.Hung {
					m.Hung = true
					w.After(hang, m.Resume)
				}
			}
		}
	}
}

// oddRequests has users repeat what is under way, cancel what is done, and send what
// can't run or lacks a field.
func oddRequests(d *Deployment) {
	for i, j := range d.Jobs() {
		switch {
		case j.accepted() && j.told == "":
			d.submit(j)
		case j.told == protocol.StatusDone && i%3 == 0:
			d.Cancel(j)
		}
	}
	good := array("job-900001", "limited", 2, 2, 5)
	huge, greedy, unknown := good, good, good
	huge.MemoryGB = 4096
	greedy.Shape, greedy.Tasks, greedy.Gpus = protocol.ShapeGang, 5, 1
	unknown.Team = "nobody"
	for _, s := range []protocol.JobSpec{huge, greedy, unknown} {
		d.Refused(protocol.Encode(s))
	}
	for _, field := range []string{"Lane", "Desk", "Shape", "Rank", "Legs", "Vcpus", "Gpus", "MemGb", "Bundle", "PullGb", "SamePlace",
		"Spread", "Loaners", "ExpectedS", "SnapshotS", "FlushS"} {
		var fields map[string]any
		if err := protocol.Decode(protocol.Encode(good), &fields); err != nil {
			panic(err)
		}
		delete(fields, field)
		d.Refused(encodeSorted(fields))
	}
}

// encodeSorted gives the wire form of fields in the order of their names, the same each time.
func encodeSorted(fields map[string]any) []byte {
	var encoded bytes.Buffer
	encoder := msgpack.NewEncoder(&encoded)
	encoder.SetSortMapKeys(true)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(fields); err != nil {
		panic(err)
	}
	return encoded.Bytes()
}

// cellTrouble starts a failure between cells or, mostly, within one, and ends it later.
func cellTrouble(g *Group) {
	d := g.Cells[0].World.Rand.IntN(len(g.Cells))
	cell, w := g.Cells[d], g.Cells[0].World
	long := w.Between(2*clock.Second, 60*clock.Second)
	switch w.Rand.IntN(8) {
	case 0, 1:
		// A cell is cut off from the others, which may hold what is sent.
		w.After(long, cell.CutOff(w.chance(0.5)))
	case 2:
		for _, n := range cell.Nodes {
			n.Unanswered = true
			w.After(long, func() { n.Unanswered = false })
		}
	case 3:
		// All of a cell's controllers are away for a while.
		for _, n := range cell.Nodes {
			n.Crash()
			w.After(long, func() { cell.StartNode(n) })
		}
	default:
		trouble(cell)
	}
}
