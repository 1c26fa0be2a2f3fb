package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, each line with the seconds since the start.
type recorder struct {
	mu     sync.Mutex
	start  time.Time
	file   *os.File
	writer *bufio.Writer
}

// newRecorder creates the record at a path.
func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{start: time.Now(), file: f, writer: bufio.NewWriter(f)}, nil
}

// now returns the time since the start.
func (r *recorder) now() time.Duration { return time.Since(r.start) }

// note writes one line.
func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.writer, "%9.3f  %s\n", r.now().Seconds(), fmt.Sprintf(format, args...))
	_ = r.writer.Flush()
}

// close ends the record.
func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.writer.Flush()
	_ = r.file.Close()
}
