package simulation

import (
	"math"
	"net/http"

	"postpoint/internal/clock"
	"postpoint/internal/cloudclient/cloudtest"
	"postpoint/internal/protocol"
	"postpoint/internal/scaling"
	"postpoint/internal/transport"
)

// cloudTimeout is how long a client waits for a response.
const cloudTimeout = 4 * clock.Second

// ClientFor returns a client with which one process reaches the cloud over a link.
func (c *FakeCloud) ClientFor(p *Process, l *Link) cloudtest.Service { return &cloudClient{c, p, l} }

// cloudClient is the connection of one process to the cloud.
type cloudClient struct {
	cloud *FakeCloud
	p     *Process
	link  *Link
}

// call sends a request without a deadline.
func (x *cloudClient) call(done func(int), execute func() int) {
	x.callUntil(math.MaxInt64, done, execute)
}

// callUntil sends a request, unless the deadline has passed when the request leaves the process. The process
// may have paused before that.
func (x *cloudClient) callUntil(until clock.Micros, done func(int), execute func() int) {
	x.p.sendUntil(until, func() { x.send(done, execute) }, func() { done(transport.StatusNotSent) })
}

// send carries a request to the cloud, which executes it unless it has an outage, and the status back.
func (x *cloudClient) send(done func(int), execute func() int) {
	x.link.call(x.p, cloudTimeout, func(respond func(func())) {
		x.cloud.Calls++
		status := http.StatusServiceUnavailable
		if !x.cloud.Outage {
			status = execute()
		}
		respond(func() { done(status) })
	}, func() { done(0) })
}

// Catalogue reads the machine types.
func (x *cloudClient) Catalogue(done func(int, protocol.Catalogue)) {
	x.call(func(status int) { done(status, protocol.Catalogue{MachineTypes: x.cloud.Types}) },
		func() int { return http.StatusOK })
}

// ScaleOut starts machines; a repeated request gets the response of the first.
func (x *cloudClient) ScaleOut(r protocol.ScaleOutRequest, until clock.Micros,
	done func(int, protocol.ScaleOutResponse)) {
	var response protocol.ScaleOutResponse
	x.callUntil(until, func(status int) { done(status, response) }, func() int {
		if names, ok := x.cloud.machinesByKey[r.IdempotencyKey]; ok {
			response.Machines = names
			return http.StatusOK
		}
		pool := scaling.CapacityPool{Type: r.Type, Zone: r.Zone, Spot: r.Spot}
		count := min(r.Count, x.cloud.Capacity[pool])
		if count == 0 {
			response.Error = protocol.NoCapacity
			return http.StatusServiceUnavailable
		}
		response.Machines = append(response.Machines, x.cloud.bootMachines(pool, count)...)
		x.cloud.machinesByKey[r.IdempotencyKey] = response.Machines
		return http.StatusOK
	})
}

// ScaleIn releases machines, which end at once.
func (x *cloudClient) ScaleIn(names []protocol.MachineName, until clock.Micros, done func(int)) {
	x.callUntil(until, done, func() int {
		for _, name := range names {
			x.cloud.Remove(name)
		}
		return http.StatusOK
	})
}

// List returns the machines whose names follow another; the list lags.
func (x *cloudClient) List(from protocol.MachineName, done func(int, protocol.MachineList)) {
	var list protocol.MachineList
	x.call(func(status int) { done(status, list) }, func() int {
		for _, m := range x.cloud.laggingList() {
			if m.Name > from {
				list.Machines = append(list.Machines, m)
			}
		}
		return http.StatusOK
	})
}
