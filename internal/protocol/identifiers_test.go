package protocol

import "testing"

// ParseTask inverts TaskName and rejects other texts.
func TestTaskNamesAreReadAsWritten(t *testing.T) {
	if id, n, ok := ParseTask(TaskName("job-000412", 3)); !ok || id != "job-000412" || n != 3 {
		t.Fatalf("parsed as task %d of %q, ok %v, want task 3 of job-000412", n, id, ok)
	}
	for _, bad := range []string{"", "job-1", "job-1/", "job-1/x", "job-1/-1"} {
		if _, _, ok := ParseTask(bad); ok {
			t.Errorf("%q was accepted, want it rejected", bad)
		}
	}
}
