package main

import (
	"bytes"
	"io"
	"net"
	"net/http"

	"postpoint/internal/protocol"
)

// readMessage decodes the body of a request; it answers 400 and returns false if the body is malformed.
func readMessage(w http.ResponseWriter, r *http.Request, message any) bool {
	raw, err := io.ReadAll(r.Body)
	if err == nil && len(raw) > 0 {
		err = protocol.Decode(raw, message)
	}
	if err != nil {
		answer(w, http.StatusBadRequest, map[string]any{"error": "malformed"})
		return false
	}
	return true
}

// answer writes a response with a MessagePack body.
func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/msgpack")
	w.WriteHeader(status)
	_, _ = w.Write(protocol.Encode(body))
}

// call sends a request and returns the status and the body of the response; status 0 means none.
func call(c *http.Client, method, url string, body []byte) (int, []byte) {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Header.Set("Content-Type", "application/msgpack")
	response, err := c.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, raw
}

// listen opens a listener on a free loopback port.
func listen() (net.Listener, error) { return net.Listen("tcp4", "127.0.0.1:0") }

// freeAddress returns a loopback address that nothing listens on.
func freeAddress() (string, error) {
	l, err := listen()
	if err != nil {
		return "", err
	}
	address := l.Addr().String()
	return address, l.Close()
}
