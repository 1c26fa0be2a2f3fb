package cloudtest

import (
	"errors"
	"net/http"
	"slices"
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/cloudclient"
	"postpoint/internal/protocol"
	"postpoint/internal/transport"
)

// fixedCloud is a fake cloud that responds to every request with one status, and to scale-outs with a
// reason.
type fixedCloud struct {
	status int
	reason string
}

func (f fixedCloud) Catalogue(done func(int, protocol.Catalogue)) {
	done(f.status, protocol.Catalogue{MachineTypes: []protocol.MachineType{{Name: "g8"}}})
}

func (f fixedCloud) ScaleOut(_ protocol.ScaleOutRequest, _ clock.Micros,
	done func(int, protocol.ScaleOutResponse)) {
	done(f.status, protocol.ScaleOutResponse{Machines: []protocol.MachineName{"m-1"}, Error: f.reason})
}

func (f fixedCloud) ScaleIn(_ []protocol.MachineName, _ clock.Micros, done func(int)) { done(f.status) }

func (f fixedCloud) List(_ protocol.MachineName, done func(int, protocol.MachineList)) {
	done(f.status, protocol.MachineList{More: true})
}

// statusOf returns the status of an error, 200 for nil.
func statusOf(t *testing.T, err error) int {
	t.Helper()
	if err == nil {
		return http.StatusOK
	}
	failure, ok := errors.AsType[*transport.Error](err)
	if !ok {
		t.Fatalf("%v is of type %T, expected a *transport.Error", err, err)
	}
	return failure.Status
}

// Guards against a fake whose status becomes the wrong error, for every status.
func TestClientReturnsErrorOfEveryStatus(t *testing.T) {
	for status := transport.StatusNotSent; status < 1000; status++ {
		for _, reason := range []string{"", protocol.NoCapacity, "trouble"} {
			err := errors.New("no outcome")
			var machines []protocol.MachineName
			Client(fixedCloud{status, reason}).ScaleOut(protocol.ScaleOutRequest{}, 0,
				func(m []protocol.MachineName, e error) { machines, err = m, e })
			if got := statusOf(t, err); got != status || !slices.Equal(machines, []protocol.MachineName{"m-1"}) ||
				status != http.StatusOK && cloudclient.Reason(err) != reason {
				t.Errorf("status %d with reason %q became %d with %q and machines %v", status, reason, got,
					cloudclient.Reason(err), machines)
			}
			noCapacity := status == http.StatusServiceUnavailable && reason == protocol.NoCapacity
			if errors.Is(err, cloudclient.ErrNoCapacity) != noCapacity {
				t.Errorf("status %d, reason %q: %v, expected no capacity %v", status, reason, err, noCapacity)
			}
			if noResponse := status == 0; errors.Is(err, cloudclient.ErrNoResponse) != noResponse {
				t.Errorf("status %d: %v, expected no response %v", status, err, noResponse)
			}
			if notSent := status == transport.StatusNotSent; errors.Is(err, cloudclient.ErrNotSent) != notSent {
				t.Errorf("status %d: %v, expected not sent %v", status, err, notSent)
			}
		}
	}
}

// Guards against an operation that loses the status or the value of the fake.
func TestClientReturnsStatusAndValueOfEveryOperation(t *testing.T) {
	noOutcome := errors.New("no outcome")
	for status := transport.StatusNotSent; status < 1000; status++ {
		api := Client(fixedCloud{status: status})
		catalogueErr, scaleInErr, listErr := noOutcome, noOutcome, noOutcome
		var catalogue protocol.Catalogue
		var list protocol.MachineList
		api.Catalogue(func(c protocol.Catalogue, err error) { catalogue, catalogueErr = c, err })
		api.ScaleIn(nil, 0, func(err error) { scaleInErr = err })
		api.List("", func(l protocol.MachineList, err error) { list, listErr = l, err })
		for name, err := range map[string]error{
			"catalogue": catalogueErr, "scale-in": scaleInErr, "list": listErr,
		} {
			if got := statusOf(t, err); got != status {
				t.Errorf("%s: status %d became %d", name, status, got)
			}
		}
		if len(catalogue.MachineTypes) != 1 || !list.More {
			t.Errorf("status %d: catalogue %v and list %v, expected those of the service", status, catalogue,
				list)
		}
	}
}
