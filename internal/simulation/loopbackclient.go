package simulation

import (
	"bytes"
	"io"
	"net/http"

	"postpoint/internal/admission"
	"postpoint/internal/protocol"
)

// Paths of the controllers' HTTP interface.
const (
	heartbeatPath = "/agent/beat"
	jobsPath      = "/api/jobs"
	cancelSuffix  = "/withdraw"
)

// remoteController is a controller in a process of its own, as workers and users reach it by HTTP.
type remoteController struct {
	l        *Loopback
	base     string                                // of its URLs
	sessions map[protocol.MachineName]*http.Client // by worker, a connection each
}

// session is the connection of a worker, which has just one.
func (c *remoteController) session(worker protocol.MachineName) *http.Client {
	session := c.sessions[worker]
	if session == nil {
		transport := &http.Transport{MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1}
		session = &http.Client{Timeout: loopbackTimeout, Transport: transport}
		c.sessions[worker] = session
	}
	return session
}

// Heartbeat sends a worker's heartbeat to the controller.
func (c *remoteController) Heartbeat(r protocol.Heartbeat, reply func(status int, body any)) {
	session, l := c.session(r.Machine), c.l
	go func() {
		var answer protocol.HeartbeatResponse
		var redirect protocol.Redirect
		status, raw := post(session, c.base+heartbeatPath, protocol.Encode(r))
		switch {
		case status == http.StatusOK && protocol.Decode(raw, &answer) == nil:
			l.Do(func() {
				l.Heartbeats++
				l.countStarts(answer.Commands)
				reply(status, answer)
			})
		case status == http.StatusMisdirectedRequest && protocol.Decode(raw, &redirect) == nil:
			l.Do(func() { reply(status, redirect) })
		case status != 0:
			l.Do(func() { reply(http.StatusServiceUnavailable, protocol.Redirect{}) })
		}
	}()
}

// countStarts counts start commands that reach workers.
func (l *Loopback) countStarts(commands []protocol.Command) {
	for _, c := range commands {
		if c.Verb == protocol.VerbStart {
			l.Starts++
		}
	}
}

// jobURL returns the address of a job at the controller.
func (c *remoteController) jobURL(id protocol.JobID) string {
	return c.base + jobsPath + "/" + string(id)
}

// Handle sends a user's request to the controller.
func (c *remoteController) Handle(r admission.Request, reply func(admission.Response)) {
	l := c.l
	go func() {
		var answer admission.Response
		counter := new(int)
		switch r.Kind {
		case admission.Submit:
			counter = &l.Submissions
			answer.Status, answer.Body = post(&l.users, c.base+jobsPath, r.Body)
		case admission.GetStatus:
			counter = &l.Polls
			answer.Status, answer.Body = get(&l.users, c.jobURL(r.ID))
		case admission.Cancel:
			answer.Status, answer.Body = post(&l.users, c.jobURL(r.ID)+cancelSuffix, nil)
		}
		l.Do(func() {
			if answer.Status == http.StatusOK || answer.Status == http.StatusCreated {
				*counter++
			}
			reply(answer)
		})
	}()
}

func post(c *http.Client, url string, body []byte) (int, []byte) {
	resp, err := c.Post(url, "application/msgpack", bytes.NewReader(body))
	return readResponse(resp, err)
}

func get(c *http.Client, url string) (int, []byte) {
	resp, err := c.Get(url)
	return readResponse(resp, err)
}

// readResponse reads a whole response; status 0 is none.
func readResponse(resp *http.Response, err error) (int, []byte) {
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, raw
}
