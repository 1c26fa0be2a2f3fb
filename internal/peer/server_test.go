package peer

import (
	"errors"
	"net"
	"testing"
)

// Guards against malformed frames that harm the server: it closes the connection with an error.
func TestServerClosesConnectionsThatSendGarbage(t *testing.T) {
	for _, raw := range [][]byte{
		[]byte("GET / HTTP/1.1\r\n\r\n"),
		frame(nil),
		frame([]byte{9, 0, 1, 'x'}),
		frame([]byte{2, 0xff, 0xff}),
	} {
		here, there := net.Pipe()
		ended := make(chan error, 1)
		go func() {
			ended <- serve(there, nil)
			there.Close()
		}()
		if _, err := here.Write(raw); err != nil && len(raw) <= frameHeaderBytes {
			t.Fatal(err)
		}
		if err := <-ended; !errors.Is(err, ErrNotFrame) && !errors.Is(err, ErrMalformed) {
			t.Errorf("%q: %v, want %v or %v", raw, err, ErrNotFrame, ErrMalformed)
		}
		here.Close()
	}
}
