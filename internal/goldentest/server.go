package goldentest

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Serve is an outside system that answers every request alike. It gives its address, and the
// requests as they came: method and path, headers, an empty line and the body, with line feeds
// alone at the ends of lines.
func Serve(t testing.TB, status int, answer string) (address string, requests <-chan []byte) {
	t.Helper()
	came := make(chan []byte, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var request bytes.Buffer
		request.WriteString(r.Method + " " + r.RequestURI + "\n")
		_ = r.Header.Write(&request)
		request.WriteString("\n")
		head := bytes.ReplaceAll(request.Bytes(), []byte("\r\n"), []byte("\n"))
		var body bytes.Buffer
		_, _ = body.ReadFrom(r.Body)
		came <- append(head, body.Bytes()...)
		w.WriteHeader(status)
		_, _ = w.Write([]byte(answer))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), came
}
