package controller

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"runtime/pprof"
	"strings"
	"syscall"
	"testing"
	"time"

	"postpoint/internal/clock"
	"postpoint/internal/protocol"
	"postpoint/internal/scaling"
	"postpoint/internal/settings"
	"postpoint/internal/simulation"
)

// The benchmarks in this file run one controller against fakes in another process, in real time and over
// connections on the loopback interface. A controller runs until its process ends, so each benchmark needs a
// process of its own and runs once:
//
//	go test -run xxx -bench SteadyState -benchtime 1x ./internal/controller \
//		-seconds 60 -profiles "$PWD/target"
//
// The flags of this package must follow the package's name: go test passes everything after an unknown flag
// to the test, including the name of the package.
var (
	seconds  = flag.Int("seconds", 20, "length of the measured phase in seconds")
	load     = flag.String("load", "often", "deployment and load of the fakes: 'often' or 'many', see loads")
	profiles = flag.String("profiles", "", "directory for a CPU and a heap profile of the measured phase")
)

// fakesVariable is the environment variable with fakesOptions in JSON. If it is present, the test program
// runs the fakes instead of the tests.
const fakesVariable = "POSTPOINT_STAND_INS"

// warmUp is how long the fakes run with simulated controllers, on the simulated clock, before the tested
// controller takes over.
const warmUp = 120 * clock.Second

// loadShape is the size of a deployment and the load from its users.
type loadShape struct {
	Workers  settings.Workers
	Limits   settings.MachineLimits
	Capacity map[string]int // by machine type, in each zone
	Arrivals []arrivals
}

// arrivals are equal jobs that users submit at a fixed interval.
type arrivals struct {
	Every   clock.Micros
	Spec    protocol.JobSpec
	RunTime clock.Micros
}

var loads = map[string]loadShape{
	// About 600 machines with a heartbeat interval of 2.5 s, gangs and large arrays.
	"often": {
		Workers:  settings.Workers{HeartbeatS: 2.5, LeaseS: 16, GangWaitS: 40, GangPeerTimeoutS: 5, CancelS: 36},
		Limits:   settings.MachineLimits{CPU: 0.05, MemoryMb: 114, MaxSockets: 1800},
		Capacity: map[string]int{"small": 180, "middle": 100, "large": 25},
		Arrivals: []arrivals{
			{1100 * clock.Millisecond, protocol.JobSpec{Class: "gang", Shape: protocol.ShapeGang, Tasks: 6,
				Cpus: 15, MemoryGB: 51, ImageGB: 1.5, CheckpointS: 15, SaveS: 4, EstimateS: 90},
				90 * clock.Second},
			{4 * clock.Second, protocol.JobSpec{Class: "array", Shape: protocol.ShapeArray, Tasks: 250,
				Cpus: 1, MemoryGB: 1.4, ImageGB: 1, EstimateS: 40}, 40 * clock.Second},
			{12 * clock.Second, protocol.JobSpec{Class: "gpu", Shape: protocol.ShapeArray, Tasks: 15,
				Cpus: 10, Gpus: 1, MemoryGB: 54, ImageGB: 6, CheckpointS: 15, SaveS: 3, EstimateS: 100},
				100 * clock.Second},
		},
	},
	// About 1,000 machines with a heartbeat interval of 5 s, arrays of short tasks on GPUs.
	"many": {
		Workers:  settings.Workers{HeartbeatS: 5, LeaseS: 22, GangWaitS: 35, GangPeerTimeoutS: 8, CancelS: 42},
		Limits:   settings.MachineLimits{CPU: 0.036, MemoryMb: 114, MaxSockets: 1800},
		Capacity: map[string]int{"small": 350, "middle": 0, "large": 150},
		Arrivals: []arrivals{
			{10 * clock.Second, protocol.JobSpec{Class: "gang", Shape: protocol.ShapeGang, Tasks: 6, Cpus: 8,
				MemoryGB: 16, ImageGB: 2.5, CheckpointS: 45, SaveS: 6, EstimateS: 80}, 80 * clock.Second},
			{1500 * clock.Millisecond, protocol.JobSpec{Class: "gpu", Shape: protocol.ShapeArray, Tasks: 30,
				Cpus: 5, Gpus: 1, MemoryGB: 36, ImageGB: 5, CheckpointS: 30, SaveS: 3, EstimateS: 45},
				45 * clock.Second},
			{3 * clock.Second, protocol.JobSpec{Class: "array", Shape: protocol.ShapeArray, Tasks: 150,
				Cpus: 2, MemoryGB: 4, ImageGB: 1, EstimateS: 60}, 60 * clock.Second},
		},
	},
}

var loadTypes = []protocol.MachineType{
	{Name: "small", Cpus: 8, MemoryGB: 32, CacheGB: 50, FetchGBPerS: 0.6, Price: 0.4, SpotPrice: 0.1,
		BootS: 10, Zones: []string{"a", "b"}},
	{Name: "middle", Cpus: 16, MemoryGB: 64, CacheGB: 40, FetchGBPerS: 0.5, Price: 0.7, SpotPrice: 0.2,
		BootS: 10, Zones: []string{"a", "b"}},
	{Name: "large", Cpus: 48, Gpus: 4, MemoryGB: 288, CacheGB: 100, FetchGBPerS: 0.4, Price: 6, SpotPrice: 2,
		BootS: 10, Zones: []string{"a", "b"}},
}

// TestMain runs the tests, or a child process that an environment variable selects.
func TestMain(m *testing.M) {
	flag.Parse()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	if options := os.Getenv(fakesVariable); options != "" {
		runFakes(options)
		return
	}
	if raw := os.Getenv(controllerVariable); raw != "" {
		runController(raw)
		return
	}
	os.Exit(m.Run())
}

// fakesOptions configures the process with the fakes, which responds with fakesReady once it serves.
type fakesOptions struct {
	Load       string
	Controller string
}

type fakesReady struct{ State, Cloud string }

// progress has the counters of the fakes, since their start.
type progress struct {
	Heartbeats, Polls, Submissions, Starts, Machines, Changes int
}

// runFakes is the main function of the process with the fakes. It runs until its standard input ends. Each
// line of the input is a command: it causes the event that it names, if any, and returns the progress.
func runFakes(raw string) {
	var options fakesOptions
	must(json.Unmarshal([]byte(raw), &options))
	shape := loads[options.Load]
	workers := listen("0.0.0.0:0")
	config := loadSettings(shape)
	controllers := []simulation.Controller{{Name: config.Node, Address: options.Controller}}
	l := simulation.NewLoopback(config, loadTypes, controllers, workers.Addr().(*net.TCPAddr).Port)
	for name, n := range shape.Capacity {
		for _, zone := range []string{"a", "b"} {
			l.Deployment.Cloud.Capacity[scaling.CapacityPool{Type: name, Zone: zone}] = n
			l.Deployment.Cloud.Capacity[scaling.CapacityPool{Type: name, Zone: zone, Spot: true}] = n / 4
		}
	}
	submitted := 0
	submit := func(a arrivals) {
		spec := a.Spec
		spec.ID, spec.Team, spec.Priority, spec.Spot =
			protocol.JobID(fmt.Sprintf("job-%06d", submitted)), "open", "normal", true
		spec.Image = fmt.Sprintf("img-%s-%d", spec.Class, submitted%4)
		submitted++
		l.Deployment.Submit(spec, a.RunTime, false)
	}
	for _, a := range shape.Arrivals {
		l.Deployment.World.Every(a.Every, func() { submit(a) })
	}
	l.WarmUp(warmUp)
	state, cloud := listen("127.0.0.1:0"), listen("127.0.0.1:0")
	l.Serve(state, cloud, workers)
	responses := json.NewEncoder(os.Stdout)
	must(responses.Encode(fakesReady{state.Addr().String(), cloud.Addr().String()}))
	go l.Run(context.Background())
	commands := json.NewDecoder(os.Stdin)
	for {
		var command string
		if commands.Decode(&command) != nil {
			return
		}
		l.Do(func() {
			switch command {
			case "burst":
				for range burstJobs {
					for _, a := range shape.Arrivals {
						submit(a)
					}
				}
			case "lost":
				for i, m := range l.Deployment.Workers() {
					if i%3 == 0 {
						m.Fail()
					}
				}
			}
			must(responses.Encode(progress{l.Heartbeats, l.Polls, l.Submissions, l.Starts,
				len(l.Deployment.Workers()), l.Deployment.Store.Changes}))
		})
	}
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

func listen(addr string) net.Listener {
	l, err := net.Listen("tcp4", addr)
	must(err)
	return l
}

// loadSettings returns the settings of a deployment, without its addresses.
func loadSettings(shape loadShape) *settings.Settings {
	s := &settings.Settings{Node: "worker-0", Domain: "a"}
	s.Deployment = settings.Deployment{
		InitialSize: 3, Zones: []string{"a", "b"}, Teams: []settings.Team{{Name: "open"}},
		Workers: shape.Workers, MachineLimits: shape.Limits,
		KVStore: settings.KVStore{Rps: 100, WriteRps: 40, ValueKb: 32, TxnOps: 12},
		Cloud:   settings.Cloud{Rps: 8, ListLagS: 4},
		Objectives: []settings.Objective{
			{Kind: "wait", Class: "gang", WithinS: 120, Share: 0.9},
			{Kind: "finished", Class: "array", WithinS: 150, Share: 0.9},
		},
	}
	return s
}

// fakesProcess is the connection to the process with the fakes.
type fakesProcess struct {
	commands  *json.Encoder
	responses *json.Decoder
}

// ask sends a command and returns the progress.
func (s *fakesProcess) ask(tb testing.TB, command string) progress {
	tb.Helper()
	var p progress
	if err := s.commands.Encode(command); err != nil {
		tb.Fatal(err)
	}
	if err := s.responses.Decode(&p); err != nil {
		tb.Fatal(err)
	}
	return p
}

// startFakes starts the process with the fakes: a deployment under load that has just lost its controllers.
// It also returns the settings for a new controller.
func startFakes(tb testing.TB) (*fakesProcess, *settings.Settings) {
	tb.Helper()
	config := loadSettings(loads[*load])
	config.Bind, config.InternalAddr = freeAddress(), freeAddress()
	options, err := json.Marshal(fakesOptions{*load, config.Bind})
	must(err)
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), fakesVariable+"="+string(options))
	child.Stderr = os.Stderr
	in, err := child.StdinPipe()
	must(err)
	out, err := child.StdoutPipe()
	must(err)
	if err := child.Start(); err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() {
		in.Close()
		_ = child.Wait()
	})
	s := &fakesProcess{json.NewEncoder(in), json.NewDecoder(out)}
	var ready fakesReady
	if err := s.responses.Decode(&ready); err != nil {
		tb.Fatal(err)
	}
	config.Endpoints = settings.Endpoints{KVStore: ready.State, Cloud: ready.Cloud}
	return s, config
}

// measurePhase reports the resources that the controller's process uses during a function.
func measurePhase(b *testing.B, s *fakesProcess, during func()) {
	if *profiles != "" {
		must(os.MkdirAll(*profiles, 0o755))
		name := filepath.Join(*profiles, strings.TrimPrefix(b.Name(), "Benchmark")+"-"+*load)
		runtime.SetCPUProfileRate(cpuSamples)
		f, err := os.Create(name + ".cpu")
		must(err)
		must(pprof.StartCPUProfile(f))
		defer func() {
			pprof.StopCPUProfile()
			h, err := os.Create(name + ".heap")
			must(err)
			must(pprof.Lookup("allocs").WriteTo(h, 0))
		}()
	}
	before, used, began := s.ask(b, ""), usage(), time.Now()
	during()
	after, elapsed := s.ask(b, ""), time.Since(began).Seconds()
	u := usage()
	b.ReportMetric((u.processor-used.processor)/elapsed, "cpu-s/s")
	b.ReportMetric((u.allocated-used.allocated)/elapsed/1e6, "alloc-MB/s")
	b.ReportMetric(float64(u.resident)/1e6, "max-resident-MB")
	b.ReportMetric((u.reads-used.reads+u.writes-used.writes)/elapsed, "reads+writes/s")
	b.ReportMetric(float64(after.Heartbeats-before.Heartbeats)/elapsed, "reports/s")
	b.ReportMetric(float64(after.Polls-before.Polls)/elapsed, "polls/s")
	b.ReportMetric(float64(after.Starts-before.Starts)/elapsed, "starts/s")
	b.ReportMetric(float64(after.Changes-before.Changes)/elapsed, "changes/s")
	b.ReportMetric(float64(after.Machines), "machines")
}

// cpuSamples is the rate of the CPU profile, per second. It is above the default because a phase uses only a
// twentieth of a core.
const cpuSamples = 1000

// processUsage has the resources that this process has used since its start.
type processUsage struct {
	processor, allocated, reads, writes float64
	resident                            int64 // peak, in bytes
}

// usage returns the resources that this process has used.
func usage() processUsage {
	var r syscall.Rusage
	must(syscall.Getrusage(syscall.RUSAGE_SELF, &r))
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	u := processUsage{processor: float64(r.Utime.Nano()+r.Stime.Nano()) / 1e9,
		allocated: float64(m.TotalAlloc), resident: r.Maxrss << 10}
	raw, err := os.ReadFile("/proc/self/io")
	must(err)
	for line := range strings.Lines(string(raw)) {
		_, _ = fmt.Sscanf(line, "syscr: %g", &u.reads)
		_, _ = fmt.Sscanf(line, "syscw: %g", &u.writes)
	}
	return u
}

// startController runs the controller in this process.
func startController(config *settings.Settings) {
	ApplyLimits(config.Deployment.MachineLimits)
	go func() { must(Run(config, Options{LeaseTTL: 4 * clock.Second})) }()
}

// BenchmarkStartUp measures the time from the start of a controller's process to its first successful health
// check.
func BenchmarkStartUp(b *testing.B) {
	_, config := startFakes(b)
	var wall, processor time.Duration
	for range b.N {
		began := time.Now()
		child := startControllerProcess(config)
		for {
			response, err := http.Get("http://" + config.Bind + "/up")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Since(began) > time.Minute {
				b.Fatal("the controller isn't healthy after a minute")
			}
			time.Sleep(20 * time.Millisecond)
		}
		wall += time.Since(began)
		must(child.Process.Kill())
		_ = child.Wait()
		processor += child.ProcessState.UserTime() + child.ProcessState.SystemTime()
	}
	b.ReportMetric(wall.Seconds()/float64(b.N), "s-to-healthy")
	b.ReportMetric(processor.Seconds()/float64(b.N), "cpu-s")
}

// BenchmarkTakeover measures a takeover: the election, loading the records, and the first heartbeats of all
// machines.
func BenchmarkTakeover(b *testing.B) {
	s, config := startFakes(b)
	measurePhase(b, s, func() {
		startController(config)
		began, starts := time.Now(), s.ask(b, "").Starts
		for s.ask(b, "").Starts == starts && time.Since(began) < time.Minute {
			time.Sleep(10 * time.Millisecond)
		}
		b.ReportMetric(time.Since(began).Seconds(), "s-to-first-start")
		time.Sleep(2 * time.Second)
	})
}

// BenchmarkSteadyState measures the usual load of users and workers.
func BenchmarkSteadyState(b *testing.B) { benchmarkEvent(b, "") }

// BenchmarkBurst measures a burst of submissions.
func BenchmarkBurst(b *testing.B) { benchmarkEvent(b, "burst") }

// BenchmarkMachinesLost measures the loss of a third of the machines.
func BenchmarkMachinesLost(b *testing.B) { benchmarkEvent(b, "lost") }

// benchmarkEvent measures a phase that begins with an event, or without one for "".
func benchmarkEvent(b *testing.B, event string) {
	s, config := startFakes(b)
	startController(config)
	time.Sleep(settleTime)
	measurePhase(b, s, func() {
		s.ask(b, event)
		time.Sleep(time.Duration(*seconds) * time.Second)
	})
}

// burstJobs is the number of jobs of each kind in a burst.
const burstJobs = 40

// settleTime is the time for the takeover before the measured phase.
const settleTime = 15 * time.Second
