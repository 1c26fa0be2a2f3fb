// Command standins runs a case of the review: a small deployment whose controllers are processes of their
// own, with stand-ins of the state service, the cloud, the workers and the users on loopback addresses.
//
// It ends with 1 if the case's rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// limit ends a case that takes too long.
const limit = 115 * time.Second

// scenario plays a case and returns its exit code.
type scenario func(d *deployment, trouble bool) (int, error)

var scenarios = map[string]scenario{}

func main() {
	name := flag.String("case", "", "name of the case")
	folder := flag.String("folder", ".", "folder for record.txt")
	trouble := flag.Bool("trouble", true, "cause the disruption")
	flag.Parse()
	os.Exit(run(*name, *folder, *trouble))
}

func run(name, folder string, trouble bool) int {
	play, known := scenarios[name]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return notRun
	}
	rec, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer rec.close()
	temporary, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(temporary) }()
	} else {
		fmt.Fprintln(os.Stderr, "logs:", temporary)
	}
	d, err := newDeployment(rec, temporary)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer d.end()
	type result struct {
		code int
		err  error
	}
	results := make(chan result, 1)
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		code, err := play(d, trouble)
		results <- result{code, err}
	}()
	r := result{code: notRun, err: fmt.Errorf("not finished within %v", limit)}
	select {
	case r = <-results:
	case <-time.After(limit):
	case <-interrupted:
		r.err = fmt.Errorf("interrupted")
	}
	if r.err != nil {
		rec.note("the case could not run: %v", r.err)
		fmt.Fprintln(os.Stderr, "the case could not run:", r.err)
		return notRun
	}
	rec.note("exit code %d", r.code)
	fmt.Println(map[int]string{held: "the rule held", broken: "the rule was broken"}[r.code])
	return r.code
}
