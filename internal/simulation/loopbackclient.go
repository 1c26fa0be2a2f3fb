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

// remoteController is the HTTP client of workers and users for a controller in another process.
type remoteController struct {
	l       *Loopback
	base    string                                // of its URLs
	clients map[protocol.MachineName]*http.Client // by worker, each with its own connection
}

// clientFor returns the HTTP client of a worker, which uses a single connection.
func (c *remoteController) clientFor(worker protocol.MachineName) *http.Client {
	client := c.clients[worker]
	if client == nil {
		transport := &http.Transport{MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1}
		client = &http.Client{Timeout: loopbackTimeout, Transport: transport}
		c.clients[worker] = client
	}
	return client
}

// Heartbeat sends a worker's heartbeat to the controller.
func (c *remoteController) Heartbeat(r protocol.Heartbeat, reply func(status int, body any)) {
	client, l := c.clientFor(r.Machine), c.l
	go func() {
		var response protocol.HeartbeatResponse
		var redirect protocol.Redirect
		status, raw := post(client, c.base+heartbeatPath, protocol.Encode(r))
		switch {
		case status == http.StatusOK && protocol.Decode(raw, &response) == nil:
			l.Do(func() {
				l.Heartbeats++
				l.countStarts(response.Commands)
				reply(status, response)
			})
		case status == http.StatusMisdirectedRequest && protocol.Decode(raw, &redirect) == nil:
			l.Do(func() { reply(status, redirect) })
		case status != 0:
			l.Do(func() { reply(http.StatusServiceUnavailable, protocol.Redirect{}) })
		}
	}()
}

// countStarts counts the start commands that reach workers.
func (l *Loopback) countStarts(commands []protocol.Command) {
	for _, c := range commands {
		if c.Verb == protocol.VerbStart {
			l.Starts++
		}
	}
}

// jobURL returns the URL of a job at the controller.
func (c *remoteController) jobURL(id protocol.JobID) string {
	return c.base + jobsPath + "/" + string(id)
}

// Handle sends a user's request to the controller.
func (c *remoteController) Handle(r admission.Request, reply func(admission.Response)) {
	l := c.l
	go func() {
		var response admission.Response
		counter := new(int)
		switch r.Kind {
		case admission.Submit:
			counter = &l.Submissions
			response.Status, response.Body = post(&l.users, c.base+jobsPath, r.Body)
		case admission.GetStatus:
			counter = &l.Polls
			response.Status, response.Body = get(&l.users, c.jobURL(r.ID))
		case admission.Cancel:
			response.Status, response.Body = post(&l.users, c.jobURL(r.ID)+cancelSuffix, nil)
		}
		l.Do(func() {
			if response.Status == http.StatusOK || response.Status == http.StatusCreated {
				*counter++
			}
			reply(response)
		})
	}()
}

// post sends a POST request and returns the status and body of the response; status 0 means none.
func post(c *http.Client, url string, body []byte) (int, []byte) {
	resp, err := c.Post(url, "application/msgpack", bytes.NewReader(body))
	return readResponse(resp, err)
}

// get sends a GET request and returns the status and body of the response; status 0 means none.
func get(c *http.Client, url string) (int, []byte) {
	resp, err := c.Get(url)
	return readResponse(resp, err)
}

// readResponse returns the status and the whole body of a response; status 0 means none.
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
