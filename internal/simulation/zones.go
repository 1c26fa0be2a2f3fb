package simulation

import "postpoint/internal/clock"

// maxHealDelay is the longest time from the end of a partition until a held message arrives.
const maxHealDelay = 500 * clock.Millisecond

// zonePartition is a partition of a zone from everything outside. Workers and controllers within the zone
// reach each other.
type zonePartition struct {
	hold bool
	held []func()
}

// PartitionZone partitions a zone until the caller calls heal. Messages out of the zone or into it are lost
// or, if hold is set, delivered after heal.
func (d *Deployment) PartitionZone(zone string, hold bool) (heal func()) {
	if d.partitions[zone] != nil {
		return func() {}
	}
	p := &zonePartition{hold: hold}
	d.partitions[zone] = p
	for _, l := range d.outsideLinks(zone) {
		l.Cut, l.Hold = true, hold
	}
	return func() {
		delete(d.partitions, zone)
		for _, l := range d.outsideLinks(zone) {
			l.Heal()
		}
		for _, arrive := range p.held {
			d.World.After(d.World.Between(0, maxHealDelay), arrive)
		}
	}
}

// outsideLinks returns the links on which a zone's controllers reach services and peers outside the zone.
func (d *Deployment) outsideLinks(zone string) []*Link {
	var links []*Link
	for _, n := range d.Nodes {
		if n.Zone == zone {
			links = append(links, &n.StoreLink, &n.CloudLink, &n.PeerLink, &n.CellLink)
		}
	}
	return links
}

// partitioned returns a partition that separates two zones, and reports whether there is one.
func (d *Deployment) partitioned(a, b string) (by *zonePartition, found bool) {
	if a == b {
		return nil, false
	}
	for _, zone := range []string{a, b} {
		if p := d.partitions[zone]; p != nil {
			return p, true
		}
	}
	return nil, false
}

// deliver delivers a message from one zone to another. A partition between them either loses the message or
// holds it until the partition ends.
func (d *Deployment) deliver(from, to string, arrive func()) {
	by, blocked := d.partitioned(from, to)
	switch {
	case !blocked:
		arrive()
	case by.hold:
		by.held = append(by.held, arrive)
	}
}
