package testkit

// cutZone is a zone that is cut off from everything outside. Inside, workers and nodes reach each
// other.
type cutZone struct {
	hold bool
	held []func()
}

// CutZone cuts a zone off until the returned function is called. What is sent out of it or into it
// is lost, or held and delivered then.
func (d *Deployment) CutZone(zone string, hold bool) (heal func()) {
	if d.cut[zone] != nil {
		return func() {}
	}
	c := &cutZone{hold: hold}
	d.cut[zone] = c
	links := func(do func(*Link)) {
		for _, n := range d.Nodes {
			if n.Zone == zone {
				for _, l := range []*Link{&n.State, &n.Clouds, &n.Peers, &n.Cells} {
					do(l)
				}
			}
		}
	}
	links(func(l *Link) { l.Cut, l.Hold = true, hold })
	return func() {
		delete(d.cut, zone)
		links((*Link).Heal)
		for _, arrive := range c.held {
			d.World.After(d.World.Between(0, 500_000), arrive)
		}
	}
}

// severed tells that nothing passes between two zones, and what holds it back, if anything does.
func (d *Deployment) severed(a, b string) (by *cutZone, yes bool) {
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

// passes carries something from one zone to another, now or once a cut that holds it is over.
func (d *Deployment) passes(from, to string, arrive func()) {
	by, severed := d.severed(from, to)
	switch {
	case !severed:
		arrive()
	case by.hold:
		by.held = append(by.held, arrive)
	}
}
