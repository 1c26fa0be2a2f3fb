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

// The benchmarks here run one whole controller against stand-ins in another process,
// through real connections on the loopback interface, in real time. A controller runs
// until its process ends, so that each benchmark needs a process of its own, and runs once:
//
//	go test -run xxx -bench SteadyState -benchtime 1x ./internal/controller \
//		-seconds 60 -profiles "$PWD/target"
//
// The flags of this package come after its name: go test takes what follows an unknown flag for the
// flags of the test, the package's name too.
var (
	seconds  = flag.Int("seconds", 20, "how long the phase at test lasts")
	load     = flag.String("load", "often", "what the stand-ins are: 'often' or 'many', see loads")
	profiles = flag.String("profiles", "", "folder for a processor and a heap profile of the phase")
)

// standInsVariable makes the test program play the stand-ins instead of testing.
const standInsVariable = "POSTPOINT_STAND_INS"

// warmUp is played on the simulated clock before the controller at test takes over.
const warmUp = 120 * clock.Second

// loadShape is a deployment's size and what its users submit.
type loadShape struct {
	Workers  settings.Workers
	Limits   settings.MachineLimits
	Capacity map[string]int // by machine type, in each zone
	Arrivals []arrivals
}

// arrivals are jobs of one kind.
type arrivals struct {
	Every clock.Micros
	Spec  protocol.JobSpec
	Run   clock.Micros
}

var loads = map[string]loadShape{
	// Some 600 machines that report every 2.5 s, gangs and large arrays.
	"often": {
		Workers:  settings.Workers{HeartbeatS: 2.5, LeaseS: 16, GangWaitS: 40, GangPeerS: 5, CancelS: 36},
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
	// Some 1,000 machines that report every 5 s, arrays of short tasks on GPUs.
	"many": {
		Workers:  settings.Workers{HeartbeatS: 5, LeaseS: 22, GangWaitS: 35, GangPeerS: 8, CancelS: 42},
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

func TestMain(m *testing.M) {
	flag.Parse()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	if shape := os.Getenv(standInsVariable); shape != "" {
		playStandIns(shape)
		return
	}
	if raw := os.Getenv(controllerVariable); raw != "" {
		runAlone(raw)
		return
	}
	os.Exit(m.Run())
}

// standInsOptions are what the stand-ins are told, standInsReady what they answer.
type standInsOptions struct {
	Load       string
	Controller string
}

type standInsReady struct{ State, Cloud string }

// progress is what the stand-ins have counted so far.
type progress struct {
	Reports, Polls, Submissions, Starts, Machines, Changes int
}

// playStandIns runs until its standard input ends; each line asks for the progress, or
// brings the trouble that it names first.
func playStandIns(raw string) {
	var options standInsOptions
	must(json.Unmarshal([]byte(raw), &options))
	shape := loads[options.Load]
	workers := listen("0.0.0.0:0")
	set := loadSettings(shape)
	controllers := []simulation.Controller{{Name: set.Node, Address: options.Controller}}
	l := simulation.NewLoopback(set, loadTypes, controllers, workers.Addr().(*net.TCPAddr).Port)
	for name, n := range shape.Capacity {
		for _, zone := range []string{"a", "b"} {
			l.Deployment.Cloud.Capacity[scaling.CapacityPool{Type: name, Zone: zone}] = n
			l.Deployment.Cloud.Capacity[scaling.CapacityPool{Type: name, Zone: zone, Spot: true}] = n / 4
		}
	}
	submitted := 0
	submit := func(a arrivals) {
		spec := a.Spec
		spec.ID, spec.Team, spec.Priority, spec.Spot = protocol.JobID(fmt.Sprintf("job-%06d", submitted)), "open", "normal",
			true
		spec.Image = fmt.Sprintf("img-%s-%d", spec.Class, submitted%4)
		submitted++
		l.Deployment.Submit(spec, a.Run, false)
	}
	for _, a := range shape.Arrivals {
		l.Deployment.World.Every(a.Every, func() { submit(a) })
	}
	l.WarmUp(warmUp)
	state, cloud := listen("127.0.0.1:0"), listen("127.0.0.1:0")
	l.Serve(state, cloud, workers)
	answers := json.NewEncoder(os.Stdout)
	must(answers.Encode(standInsReady{state.Addr().String(), cloud.Addr().String()}))
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
						m.Die()
					}
				}
			}
			must(answers.Encode(progress{l.Heartbeats, l.Polls, l.Submissions, l.Starts,
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

// loadSettings are the settings of a deployment, without its addresses.
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

// standIns is the other process.
type standIns struct {
	commands *json.Encoder
	answers  *json.Decoder
}

func (s *standIns) ask(tb testing.TB, command string) progress {
	tb.Helper()
	var p progress
	if err := s.commands.Encode(command); err != nil {
		tb.Fatal(err)
	}
	if err := s.answers.Decode(&p); err != nil {
		tb.Fatal(err)
	}
	return p
}

// startStandIns gives a deployment that was at work a moment ago and has lost its
// controllers, and the settings for a new one.
func startStandIns(tb testing.TB) (*standIns, *settings.Settings) {
	tb.Helper()
	set := loadSettings(loads[*load])
	set.Bind, set.InternalAddr = freeAddress(), freeAddress()
	options, err := json.Marshal(standInsOptions{*load, set.Bind})
	must(err)
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), standInsVariable+"="+string(options))
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
	s := &standIns{json.NewEncoder(in), json.NewDecoder(out)}
	var ready standInsReady
	if err := s.answers.Decode(&ready); err != nil {
		tb.Fatal(err)
	}
	set.Endpoints = settings.Endpoints{KVStore: ready.State, Cloud: ready.Cloud}
	return s, set
}

// phase measures what the controller's process uses while something happens.
func phase(b *testing.B, s *standIns, during func()) {
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
	b.ReportMetric(float64(after.Reports-before.Reports)/elapsed, "reports/s")
	b.ReportMetric(float64(after.Polls-before.Polls)/elapsed, "polls/s")
	b.ReportMetric(float64(after.Starts-before.Starts)/elapsed, "starts/s")
	b.ReportMetric(float64(after.Changes-before.Changes)/elapsed, "changes/s")
	b.ReportMetric(float64(after.Machines), "machines")
}

// cpuSamples a second: a phase uses a twentieth of a core.
const cpuSamples = 1000

// processUsage is what the process has used so far.
type processUsage struct {
	processor, allocated, reads, writes float64
	resident                            int64 // bytes, at the most
}

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
func startController(set *settings.Settings) {
	ApplyLimits(set.Deployment.MachineLimits)
	go func() { must(Run(set, Options{LeaseTTL: 4 * clock.Second})) }()
}

// From the start of a process to the first health check that it passes, in a process of
// its own.
func BenchmarkStartUp(b *testing.B) {
	_, set := startStandIns(b)
	var wall, processor time.Duration
	for range b.N {
		began := time.Now()
		child := startAlone(set)
		for {
			answer, err := http.Get("http://" + set.Bind + "/up")
			if err == nil {
				_ = answer.Body.Close()
				if answer.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Since(began) > time.Minute {
				b.Fatal("never healthy")
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

// Election, records, and the whole fleet reporting anew.
func BenchmarkTakeover(b *testing.B) {
	s, set := startStandIns(b)
	phase(b, s, func() {
		startController(set)
		began, starts := time.Now(), s.ask(b, "").Starts
		for s.ask(b, "").Starts == starts && time.Since(began) < time.Minute {
			time.Sleep(10 * time.Millisecond)
		}
		b.ReportMetric(time.Since(began).Seconds(), "s-to-first-start")
		time.Sleep(2 * time.Second)
	})
}

// Nothing but what users and workers always do.
func BenchmarkSteadyState(b *testing.B) { benchmarkTrouble(b, "") }

// A burst of submissions.
func BenchmarkBurst(b *testing.B) { benchmarkTrouble(b, "burst") }

// A third of the machines dies.
func BenchmarkMachinesLost(b *testing.B) { benchmarkTrouble(b, "lost") }

func benchmarkTrouble(b *testing.B, trouble string) {
	s, set := startStandIns(b)
	startController(set)
	time.Sleep(settleTime)
	phase(b, s, func() {
		s.ask(b, trouble)
		time.Sleep(time.Duration(*seconds) * time.Second)
	})
}

// burstJobs of each kind come at once in a burst.
const burstJobs = 40

// settleTime is for the takeover before the phase at test.
const settleTime = 15 * time.Second
