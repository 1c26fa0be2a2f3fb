// Command standins plays one case of the review: it starts controllers, stand-ins of everything outside and
// the disruption, and exits with 1 if a rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases are the cases by name. Each returns an error if it couldn't run.
var cases = map[string]func(w *World) error{}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE FOLDER COMMAND, in the root of the repository")
		os.Exit(2)
	}
	w := NewWorld(os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stop
		w.End()
		os.Exit(2)
	}()
	failed := make(chan error, 1)
	go func() { failed <- cases[os.Args[1]](w) }()
	var err error
	select {
	case err = <-failed:
	case <-time.After(118 * time.Second):
		err = fmt.Errorf("the case took too long")
	}
	var broken []string
	w.Do(func() { broken = w.Broken })
	w.Log("end: %d rules broken, error %v", len(broken), err)
	w.End()
	for _, b := range broken {
		fmt.Println("broken:", b)
	}
	switch {
	case len(broken) > 0:
		os.Exit(1)
	case err != nil:
		fmt.Println("couldn't run:", err)
		os.Exit(2)
	}
	fmt.Println("held")
}
