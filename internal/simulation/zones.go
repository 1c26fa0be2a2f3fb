package simulation

import "postpoint/internal/clock"

// maxHealDelay is how long after a partition held messages arrive at most.
const maxHealDelay = 500 * clock.Millisecond

// partitionedZone is a zone that is partitioned from everything outside. Inside, workers and controllers
// reach each other.
type partitionedZone struct {
	hold bool
	held []func()
}

// CutZone partitions a zone until the returned function is called. Messages out of it or into it are lost,
// or held and delivered then.
func (d *Deployment) CutZone(zone string, hold bool) (heal func()) {
	if d.cut[zone] != nil {
		return func() {}
	}
	c := &partitionedZone{hold: hold}
	d.cut[zone] = c
	for _, l := range d.outsideLinks(zone) {
		l.Cut, l.Hold = true, hold
	}
	return func() {
		delete(d.cut, zone)
		for _, l := range d.outsideLinks(zone) {
			l.Heal()
		}
		for _, arrive := range c.held {
			d.World.After(d.World.Between(0, maxHealDelay), arrive)
		}
	}
}

// outsideLinks are the links of a zone's controllers out of it.
func (d *Deployment) outsideLinks(zone string) []*Link {
	var links []*Link
	for _, n := range d.Nodes {
		if n.Zone == zone {
			links = append(links, &n.State, &n.Clouds, &n.Peers, &n.Cells)
		}
	}
	return links
}

// partitioned reports whether two zones are partitioned from each other, and by which partition.
func (d *Deployment) partitioned(a, b string) (by *partitionedZone, yes bool) {
	if a == b {
		return nil, false
	}
	for _, zone := range []string{a, b} {
		if c := d.cut[zone]; c != nil {
			return c, true
		}
	}
	return nil, false
}

// deliver delivers a message from one zone to another, now or once a partition that holds it is over.
func (d *Deployment) deliver(from, to string, arrive func()) {
	by, severed := d.partitioned(from, to)
	switch {
	case !severed:
		arrive()
	case by.hold:
		by.held = append(by.held, arrive)
	}
}
