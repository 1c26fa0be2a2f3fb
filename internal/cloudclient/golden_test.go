package cloudclient

import (
	"errors"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"postpoint/internal/actor/actortest"
	"postpoint/internal/clock"
	"postpoint/internal/goldentest"
	"postpoint/internal/protocol"
)

// The client sends the recorded requests and decodes the responses.
func TestGoldenRequests(t *testing.T) {
	var catalogue protocol.Catalogue
	var startedMachines []protocol.MachineName
	var list protocol.MachineList
	var got error
	var api API
	for _, c := range []struct {
		name, response string
		call           func()
		recorded       string
	}{
		{"catalogue", "\x81\xa6Fleets\x91\x81\xa3Sku\xa2g8", func() {
			api.Catalogue(func(c protocol.Catalogue, err error) { catalogue, got = c, err })
		}, "GET /catalog\nUser-Agent: Go-http-client/1.1\n\n"},
		{"scale-out", "\x81\xa5Hosts\x91\xa3m-1", func() {
			r := protocol.ScaleOutRequest{IdempotencyKey: "e41-2", Type: "g8", Zone: "a", Spot: true,
				Count: 5}
			api.ScaleOut(r, clock.Second, func(machines []protocol.MachineName, err error) {
				startedMachines, got = machines, err
			})
		},
			"POST /hosts\nContent-Length: 49\nContent-Type: application/msgpack\n" +
				"User-Agent: Go-http-client/1.1\n\n\x85\xa7Booking\xa5e41-2\xa5Fleet\xa2g8\xa4Hall\xa1a" +
				"\xa7Loaners\xc3\xa7HowMany\x05"},
		{"scale-in", "", func() {
			api.ScaleIn([]protocol.MachineName{"m-1", "m-2"}, clock.Second, func(err error) { got = err })
		},
			"POST /hosts/release\nContent-Length: 16\nContent-Type: application/msgpack\n" +
				"User-Agent: Go-http-client/1.1\n\n\x81\xa5Hosts\x92\xa3m-1\xa3m-2"},
		{"list", "\x82\xa5Hosts\x91\x81\xa3Uid\xa3m-1\xa7HasNext\xc3", func() {
			api.List("", func(l protocol.MachineList, err error) { list, got = l, err })
		}, "GET /hosts?Limit=500\nUser-Agent: Go-http-client/1.1\n\n"},
		{"next page", "\x80", func() {
			api.List("m-1", func(_ protocol.MachineList, err error) { got = err })
		}, "GET /hosts?From=m-1&Limit=500\nUser-Agent: Go-http-client/1.1\n\n"},
	} {
		address, requests := goldentest.ServeFixedResponse(t, http.StatusOK, c.response)
		mailbox := actortest.ChannelMailbox{Messages: make(chan func(), 1)}
		api, got = New(address).For(mailbox), errors.New("no outcome")
		c.call()
		goldentest.Equal(t, c.name, <-requests, c.recorded)
		(<-mailbox.Messages)()
		if got != nil {
			t.Errorf("%s: %v, expected success", c.name, got)
		}
	}
	if d := cmp.Diff(protocol.Catalogue{MachineTypes: []protocol.MachineType{{Name: "g8"}}},
		catalogue); d != "" {
		t.Error(d)
	}
	if d := cmp.Diff([]protocol.MachineName{"m-1"}, startedMachines); d != "" {
		t.Error(d)
	}
	want := protocol.MachineList{Machines: []protocol.ListedMachine{{Name: "m-1"}}, More: true}
	if d := cmp.Diff(want, list); d != "" {
		t.Error(d)
	}
	if PageSize != 500 || MaxScaleIn != 100 || MaxScaleOut != 50 {
		t.Errorf("bounds %d, %d, %d, want 500, 100, 50", PageSize, MaxScaleIn, MaxScaleOut)
	}
}
