package main

import (
	"io"
	"net"
	"net/http"
	"time"

	"postpoint/internal/protocol"
)

// serveHTTP serves a handler on a free loopback port and returns the address.
func serveHTTP(h http.Handler) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String()
}

// maxBody is the largest body of a request and of a response to workers and users, counted as JSON.
const maxBody = 64 << 10

// read reads and decodes a request's body. It reports whether the body is within the limit and well-formed.
func read(r *http.Request, v any) (raw []byte, ok bool) {
	raw, err := io.ReadAll(r.Body)
	if err != nil || len(raw) > 0 && (protocol.JSONSize(raw) > maxBody || protocol.Decode(raw, v) != nil) {
		return raw, false
	}
	return raw, true
}

// answer sends a response.
func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/msgpack")
	w.WriteHeader(status)
	if body != nil {
		_, _ = w.Write(protocol.Encode(body))
	}
}

// silence keeps a request without a response until its client gives up.
func silence(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-time.After(70 * time.Second):
	}
	panic(http.ErrAbortHandler)
}

// gated passes a request through a gate; it reports whether the request is to be executed.
func gated(g *Gate, w http.ResponseWriter, r *http.Request) bool {
	if g.Mode() == "refuse" {
		answer(w, http.StatusServiceUnavailable, map[string]any{"error": "trouble"})
		return false
	}
	arrives, _ := g.Pass()
	if !arrives {
		silence(r)
	}
	if g.Mode() == "refuse" {
		answer(w, http.StatusServiceUnavailable, map[string]any{"error": "trouble"})
		return false
	}
	return true
}
