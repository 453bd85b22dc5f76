// Command driver3 runs the cases of the third review. It starts daemons as processes of
// their own, and is itself the platform's store, the replicas and the consumers.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxTime bounds a case, with all that it has to end.
const maxTime = 115 * time.Second

// errNotRun means that a case could not run, so that it says nothing about the rule.
var errNotRun = errors.New("the case could not run")

// scenario plays a case and reports whether its rule was broken.
type scenario func(r *run) (broken bool, err error)

var scenarios = map[string]scenario{
	"silent-reader": silentReader,
	"upgrade":       upgradeInPlace,
	"foreign":       foreignEntries,
	"clock-step":    clockStepBack,
}

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver3 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(scenarios[os.Args[1]], os.Args[2]))
}

func play(s scenario, record string) int {
	r, err := newRun(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	type result struct {
		broken bool
		err    error
	}
	played := make(chan result, 1)
	go func() {
		broken, err := s(r)
		played <- result{broken, err}
	}()
	var broken bool
	select {
	case end := <-played:
		broken, err = end.broken, end.err
	case <-signals:
		err = fmt.Errorf("%w: it was stopped", errNotRun)
	case <-time.After(maxTime):
		err = fmt.Errorf("%w: it took too long", errNotRun)
	}
	switch {
	case err != nil:
		r.notef("not run: %v", err)
		return exitNotRun
	case broken:
		r.notef("verdict: the rule was broken")
		return exitBroken
	default:
		r.notef("verdict: the rule held")
		return exitHeld
	}
}
