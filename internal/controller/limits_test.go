package controller

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"postpoint/internal/cells"
	"postpoint/internal/clock"
	"postpoint/internal/peer"
	"postpoint/internal/settings"
)

// controllerVariable makes the test program run a controller with the given settings.
const controllerVariable = "POSTPOINT_CONTROLLER"

// runAlone is the controller's process in the test of the least limits.
func runAlone(raw string) {
	var s settings.Settings
	must(json.Unmarshal([]byte(raw), &s))
	must(CheckLimits(s.Deployment.MachineLimits))
	ApplyLimits(s.Deployment.MachineLimits)
	options := Options{LeaseTTL: 4 * clock.Second}
	if file := os.Getenv(cellsVariable); file != "" {
		var err error
		options.Cells, err = cells.Load(file, &s)
		must(err)
		options.LeaseTTL = 2 * clock.Second
	}
	must(Run(&s, options))
}

// cellsVariable names the cells file of such a controller.
const cellsVariable = "POSTPOINT_CONTROLLER_CELLS"

// startAlone starts a process that runs a controller.
func startAlone(set *settings.Settings, environment ...string) *exec.Cmd {
	raw, err := json.Marshal(set)
	must(err)
	child := exec.Command(os.Args[0])
	child.Env = append(append(os.Environ(), controllerVariable+"="+string(raw)), environment...)
	must(child.Start())
	return child
}

// smallest is the smallest machine on which a controller runs.
var smallest = settings.MachineLimits{CPU: MinCPU, MemoryMb: MinMemoryMB, MaxSockets: MinSockets}

func TestTooSmallMachineIsRefusedByField(t *testing.T) {
	if err := CheckLimits(smallest); err != nil {
		t.Errorf("the smallest machine: %v, expected no error", err)
	}
	const format = "deployment.machine_limits.%s: %v is too small, at least %v is needed"
	for _, c := range []struct {
		field   string
		value   float64
		minimum float64
		set     func(*settings.MachineLimits)
	}{
		{"cpu", 0.001, 0.005, func(l *settings.MachineLimits) { l.CPU = 0.001 }},
		{"memory_mb", 8, MinMemoryMB, func(l *settings.MachineLimits) { l.MemoryMb = 8 }},
		{"max_sockets", 100, MinSockets, func(l *settings.MachineLimits) { l.MaxSockets = 100 }},
	} {
		l := smallest
		c.set(&l)
		err := CheckLimits(l)
		if want := fmt.Sprintf(format, c.field, c.value, c.minimum); err == nil || err.Error() != want {
			t.Errorf("%v, expected %q", err, want)
		}
		limit, ok := errors.AsType[*LimitError](err)
		if !ok || *limit != (LimitError{Field: c.field, Value: c.value, Minimum: c.minimum}) {
			t.Errorf("%#v, expected a LimitError of %s", err, c.field)
		}
	}
}

func TestCellsNeedMoreSockets(t *testing.T) {
	s := &settings.Settings{}
	s.Deployment.MachineLimits = smallest
	s.Deployment.Workers.LeaseS = 10
	o := Options{LeaseTTL: 2 * clock.Second}
	if err := o.Validate(s); err != nil {
		t.Errorf("without cells: %v, expected no error", err)
	}
	o.Cells = &cells.Directory{}
	const format = "deployment.machine_limits.max_sockets: %d is too small with cells, at least %d is needed"
	want := fmt.Sprintf(format, MinSockets, MinSockets+peer.MaxCellConnections)
	if err := o.Validate(s); err == nil || err.Error() != want {
		t.Errorf("with cells: %v, expected %q", err, want)
	}
	s.Deployment.MachineLimits.MaxSockets += peer.MaxCellConnections
	if err := o.Validate(s); err != nil {
		t.Errorf("with cells and their sockets: %v, expected no error", err)
	}
}

func TestMemoryLimitComparesWithWhatProcessHolds(t *testing.T) {
	if memoryFull(1e6)() {
		t.Error("a limit of a terabyte is reached, expected that it isn't")
	}
	if !memoryFull(1)() {
		t.Error("a limit of a megabyte isn't reached, expected that it is")
	}
}

// With the least of memory and sockets a controller starts, responds on as many connections as it
// has sockets for, and stays within both.
func TestControllerServesOnSmallestMachine(t *testing.T) {
	set := loadSettings(loads["often"])
	set.Deployment.MachineLimits = smallest
	set.Bind, set.InternalAddr = freeAddress(), freeAddress()
	set.Endpoints = settings.Endpoints{KVStore: freeAddress(), Cloud: freeAddress()}
	child := startAlone(set)
	defer func() {
		_ = child.Process.Kill()
		_ = child.Wait()
	}()
	for i := range minClientConnections {
		client := http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{}}
		defer client.CloseIdleConnections()
		for tries := 0; ; tries++ {
			answer, err := client.Get("http://" + set.Bind + "/overview")
			if err == nil {
				_, err = io.Copy(io.Discard, answer.Body) // so that the connection is kept
				must(err)
				_ = answer.Body.Close()
				break
			}
			if i > 0 || tries == 500 {
				t.Fatalf("connection %d: %v", i, err)
			}
			time.Sleep(20 * time.Millisecond) // it is starting
		}
	}
	proc := fmt.Sprint("/proc/", child.Process.Pid)
	status, err := os.ReadFile(filepath.Join(proc, "status"))
	must(err)
	_, peak, _ := strings.Cut(string(status), "VmHWM:")
	var kilobytes int
	_, err = fmt.Sscan(peak, &kilobytes)
	must(err)
	if kilobytes > MinMemoryMB*1000 {
		t.Errorf("%d kB held at the peak, expected at most %d MB", kilobytes, MinMemoryMB)
	}
	files, err := os.ReadDir(filepath.Join(proc, "fd"))
	must(err)
	if len(files) < minClientConnections || len(files) > MinSockets {
		t.Errorf("%d files are open, expected %d to %d", len(files), minClientConnections, MinSockets)
	}
	t.Logf("%d kB, %d files", kilobytes, len(files))
}
