package goldentest

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// ServeFixedResponse starts a fake of an external system that sends the same response to every request. It
// returns the address of the fake and the requests that it receives: method and path, headers, an empty line
// and the body. Lines end with a line feed alone.
func ServeFixedResponse(t testing.TB, status int, response string) (address string, requests <-chan []byte) {
	t.Helper()
	received := make(chan []byte, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var request bytes.Buffer
		request.WriteString(r.Method + " " + r.RequestURI + "\n")
		_ = r.Header.Write(&request)
		request.WriteString("\n")
		head := bytes.ReplaceAll(request.Bytes(), []byte("\r\n"), []byte("\n"))
		var body bytes.Buffer
		_, _ = body.ReadFrom(r.Body)
		received <- append(head, body.Bytes()...)
		w.WriteHeader(status)
		_, _ = w.Write([]byte(response))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), received
}
