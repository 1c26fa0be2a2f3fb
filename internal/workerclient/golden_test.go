package workerclient

import (
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"postpoint/internal/actor/actortest"
	"postpoint/internal/clock"
	"postpoint/internal/goldentest"
	"postpoint/internal/protocol"
)

// The client sends the recorded request and decodes the worker's status from the response.
func TestGoldenRequest(t *testing.T) {
	address, requests := goldentest.ServeFixedResponse(t, http.StatusConflict,
		"\x82\xa4Host\xa3m-1\xa5Shift\x03")
	mailbox := actortest.ChannelMailbox{Messages: make(chan func(), 1)}
	commands := protocol.CommandRequest{Epoch: 41, Incarnation: 3, Commands: []protocol.Command{
		{Verb: protocol.VerbStop, Task: "job-1/0", Attempt: 2, GraceS: 4},
	}}
	var got Response
	New().For(mailbox).Commands(address, commands, clock.Second, func(r Response) { got = r })
	goldentest.Equal(t, "commands", <-requests,
		"POST /commands\nConnection: close\nContent-Length: 67\nContent-Type: application/msgpack\n"+
			"User-Agent: Go-http-client/1.1\n\n\x83\xa5Epoch)\xa5Shift\x03\xa6Orders\x91\x84\xa4Verb\xa4k"+
			"ill\xa3Leg\xa7job-1/0\xa3Try\x02\xa6LeaveS\xcb@\x10\x00\x00\x00\x00\x00\x00")
	(<-mailbox.Messages)()
	want := Response{Status: protocol.Heartbeat{Machine: "m-1", Incarnation: 3},
		Err: &RejectedError{Incarnation: 3}}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
}
