// Command driver plays the scripted cases of the review: it starts stand-ins of the
// platform, of replicas and of consumers, and the project's own daemons as separate
// processes, and checks one rule by what consumers and replicas have seen.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// caseLimit ends a case that hangs. Cases may take 120 s.
const caseLimit = 115 * time.Second

// cases maps the name of a case to what plays it. It reports whether the rule was broken.
var cases = map[string]func(*stage) (broken bool, err error){
	"unsealed-success":  unsealedSuccess,
	"stop-while-queued": stopWhileQueued,
	"silent-stream":     silentStream,
	"resumed-twice":     resumedTwice,
	"deadly-part":       deadlyPart,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: driver CASE FOLDER")
		os.Exit(exitFailed)
	}
	code, err := play(os.Args[1], os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
	}
	os.Exit(code)
}

// play plays one case and writes its record into a folder.
func play(name, folder string) (code int, err error) {
	run, ok := cases[name]
	if !ok {
		return exitFailed, fmt.Errorf("unknown case %q", name)
	}
	s, err := newStage(filepath.Join(folder, "record.txt"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		return exitFailed, err
	}
	defer func() { err = errors.Join(err, s.close()) }()
	type verdict struct {
		broken bool
		err    error
	}
	done := make(chan verdict, 1)
	go func() {
		broken, err := run(s)
		done <- verdict{broken, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	select {
	case sig := <-interrupted:
		return exitFailed, fmt.Errorf("the case got %v", sig)
	case v := <-done:
		switch {
		case v.err != nil:
			s.logf("verdict: the case could not run: %v", v.err)
			return exitFailed, v.err
		case v.broken:
			s.logf("verdict: the rule was broken")
			return exitBroken, nil
		default:
			s.logf("verdict: the rule held")
			return exitHeld, nil
		}
	case <-time.After(caseLimit):
		return exitFailed, errors.New("the case took too long")
	}
}
