package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTime bounds one run of a case.
const caseTime = 110 * time.Second

// errCannotRun means that the case could not be played.
var errCannotRun = errors.New("the case could not run")

// verdict is how a case ended: the ways in which its rule was broken.
type verdict struct{ broken []string }

func (v *verdict) breaks(format string, args ...any) {
	v.broken = append(v.broken, fmt.Sprintf(format, args...))
}

// cases are the scripts by name. trouble is false if the case is played without its
// disruption.
var cases = map[string]func(w *world, trouble bool) (*verdict, error){
	"versions":   playVersions,
	"slowreader": playSlowReader,
	"restored":   playRestored,
	"takenup":    playTakenUp,
	"memory":     playMemory,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 3 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver2 CASE DAEMON RECORD")
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	w, err := newWorld(args[1], args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	w.record("case %s, trouble %t", args[0], trouble)
	watchdog := time.AfterFunc(caseTime, func() {
		w.record("could not run: longer than %s", caseTime)
		w.close()
		os.Exit(exitNotRun)
	})
	defer watchdog.Stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		w.record("could not run: interrupted")
		w.close()
		os.Exit(exitNotRun)
	}()
	v, err := cases[args[0]](w, trouble)
	switch {
	case err != nil:
		w.record("could not run: %v", err)
		return exitNotRun
	case len(v.broken) > 0:
		for _, b := range v.broken {
			w.record("BROKEN: %s", b)
		}
		return exitBroken
	}
	w.record("the rule held")
	return exitHeld
}
