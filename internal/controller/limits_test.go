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

// controllerVariable is the environment variable with settings in JSON. If it is present, the test program
// runs a controller with these settings instead of the tests.
const controllerVariable = "POSTPOINT_CONTROLLER"

// runController is the main function of a child process. It runs a controller with settings in JSON.
func runController(raw string) {
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

// cellsVariable is the environment variable with the path of the child controller's cells file.
const cellsVariable = "POSTPOINT_CONTROLLER_CELLS"

// startControllerProcess starts a child process that runs a controller.
func startControllerProcess(config *settings.Settings, environment ...string) *exec.Cmd {
	raw, err := json.Marshal(config)
	must(err)
	child := exec.Command(os.Args[0])
	child.Env = append(append(os.Environ(), controllerVariable+"="+string(raw)), environment...)
	must(child.Start())
	return child
}

// smallest is the smallest machine on which a controller runs.
var smallest = settings.MachineLimits{CPU: MinCPU, MemoryMb: MinMemoryMB, MaxSockets: MinSockets}

// CheckLimits names the limit that is too low.
func TestTooSmallMachineIsRefusedByField(t *testing.T) {
	if err := CheckLimits(smallest); err != nil {
		t.Errorf("the smallest machine: %v, expected no error", err)
	}
	const format = "deployment.machine_limits.%s: %v is too small, at least %v is needed"
	for _, c := range []struct {
		field   string
		value   float64
		minimum float64
		change  func(*settings.MachineLimits)
	}{
		{"cpu", 0.001, 0.005, func(l *settings.MachineLimits) { l.CPU = 0.001 }},
		{"memory_mb", 8, MinMemoryMB, func(l *settings.MachineLimits) { l.MemoryMb = 8 }},
		{"max_sockets", 100, MinSockets, func(l *settings.MachineLimits) { l.MaxSockets = 100 }},
	} {
		l := smallest
		c.change(&l)
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

// A controller with cells needs sockets for the connections to other cells, too.
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

// memoryFull compares the memory of the process with the limit, in megabytes.
func TestMemoryLimitComparesWithWhatProcessHolds(t *testing.T) {
	if memoryFull(1e6)() {
		t.Error("memoryFull is true for a limit of a terabyte, expected false")
	}
	if !memoryFull(1)() {
		t.Error("memoryFull is false for a limit of a megabyte, expected true")
	}
}

// A controller on the smallest allowed machine starts, responds on all of its client connections, and stays
// within its limits of memory and sockets.
func TestControllerServesOnSmallestMachine(t *testing.T) {
	config := loadSettings(loads["often"])
	config.Deployment.MachineLimits = smallest
	config.Bind, config.InternalAddr = freeAddress(), freeAddress()
	config.Endpoints = settings.Endpoints{KVStore: freeAddress(), Cloud: freeAddress()}
	child := startControllerProcess(config)
	defer func() {
		_ = child.Process.Kill()
		_ = child.Wait()
	}()
	for i := range minClientConnections {
		client := http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{}}
		defer client.CloseIdleConnections()
		for attempts := 0; ; attempts++ {
			response, err := client.Get("http://" + config.Bind + "/overview")
			if err == nil {
				_, err = io.Copy(io.Discard, response.Body) // so that the client keeps the connection open
				must(err)
				_ = response.Body.Close()
				break
			}
			if i > 0 || attempts == 500 {
				t.Fatalf("connection %d: %v", i, err)
			}
			time.Sleep(20 * time.Millisecond) // the controller is starting
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
		t.Errorf("peak memory of %d kB, expected at most %d MB", kilobytes, MinMemoryMB)
	}
	files, err := os.ReadDir(filepath.Join(proc, "fd"))
	must(err)
	if len(files) < minClientConnections || len(files) > MinSockets {
		t.Errorf("%d files are open, expected %d to %d", len(files), minClientConnections, MinSockets)
	}
	t.Logf("%d kB, %d files", kilobytes, len(files))
}
