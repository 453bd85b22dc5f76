package soak

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/auburndyke/auburndyke/platform/standin"
)

// problem is a broken promise.
type problem struct {
	what string
	id   string
}

func (p problem) String() string { return p.what + ": " + p.id }

// runsByID collects the runs of all upstreams.
func (f *fleet) runsByID() map[string][]standin.Run {
	out := make(map[string][]standin.Run)
	for _, u := range f.upstreams {
		for _, replica := range u.replicas {
			for _, r := range replica.Runs() {
				out[r.ID] = append(out[r.ID], r)
			}
		}
	}
	return out
}

// check returns the promises that were broken, as callers and upstreams saw
// them.
func (f *fleet) check(all []*exchange) []problem {
	var out []problem
	runs := f.runsByID()
	for _, e := range all {
		mine := runs[e.id]
		once := e.route == "/once/" || e.route == "/events/"
		add := func(format string, args ...any) {
			out = append(out, problem{fmt.Sprintf(format, args...), fmt.Sprintf("%s %s at %s: status %d, error %v", e.id, e.route, e.daemon.name, e.status, e.err)})
		}
		if once && len(mine) > 1 {
			add("ran %d times", len(mine))
		}
		if once && e.refused && len(mine) > 0 {
			add("refused although it ran")
		}
		if len(mine) > 3 {
			add("ran %d times", len(mine))
		}
		if e.status == http.StatusOK {
			out = append(out, e.checkAnswer()...)
		}
		if e.status == http.StatusUnauthorized || e.status == http.StatusNotFound {
			add("denied")
		}
		if e.unanswered() && e.daemon.stopping(e) {
			add("left without an answer by a planned stop")
		}
		if took := e.ended.Sub(e.sent); took >= routeTimeout+answerSlack && e.daemon.inTouch(e.sent) {
			add("no final answer after %s", took)
		}
	}
	for _, d := range f.daemons {
		out = append(out, d.checkStops()...)
	}
	out = append(out, f.checkAvailability(all)...)
	return append(out, f.checkRuns(runs, all)...)
}

// unanswered reports whether the daemon closed the connection, or took none,
// before any of an answer.
func (e *exchange) unanswered() bool {
	return e.err != nil && e.status == 0 && !errors.Is(e.err, context.DeadlineExceeded)
}

// checkAnswer compares a success with what an upstream sends for the request.
func (e *exchange) checkAnswer() []problem {
	if e.route != "/events/" && e.route != "/resume/" {
		if e.err == nil && !strings.HasSuffix(e.body, " to "+e.id) {
			return []problem{{fmt.Sprintf("answer %q is not its own", e.body), e.id}}
		}
		return nil
	}
	version := e.firstVersion()
	if e.resumes != nil {
		version = e.resumes.firstVersion()
	}
	var whole strings.Builder
	for n := e.last + 1; n <= streamEvents; n++ {
		fmt.Fprintf(&whole, "id: %d\ndata: %s part %d of %s\n\n", n, e.id, n, version)
	}
	switch {
	case e.err == nil && e.body != whole.String():
		return []problem{{fmt.Sprintf("stream of %s ends as complete with %q", version, e.body), e.id}}
	case !strings.HasPrefix(whole.String(), e.body):
		return []problem{{fmt.Sprintf("stream of %s has gaps, repeats or another version: %q", version, e.body), e.id}}
	}
	return nil
}

// event is an event of a stream with the software version that wrote it.
var event = regexp.MustCompile(`id: (\d+)\ndata: \S+ part \d+ of (\S+)\n\n`)

// firstVersion returns the software version that wrote the first event.
func (e *exchange) firstVersion() string {
	if first := event.FindStringSubmatch(e.body); first != nil {
		return first[2]
	}
	return ""
}

// lastEvent returns the number of the last complete event, or zero.
func (e *exchange) lastEvent() int {
	all := event.FindAllStringSubmatch(e.body, -1)
	if len(all) == 0 {
		return 0
	}
	n, _ := strconv.Atoi(all[len(all)-1][1]) // digits
	return n
}

// checkRuns looks for runs that nobody asked for or that differ from what was
// asked.
func (f *fleet) checkRuns(runs map[string][]standin.Run, all []*exchange) []problem {
	known := make(map[string]*exchange, len(all))
	for _, e := range all {
		known[e.id] = e
	}
	var out []problem
	for id, list := range runs {
		e := known[id]
		for _, r := range list {
			switch {
			case e == nil:
				out = append(out, problem{"nobody sent it", id})
			case r.Target != e.route:
				out = append(out, problem{"target changed to " + r.Target, id})
			case r.Method == http.MethodPost && len(r.Body) != 20_000:
				out = append(out, problem{fmt.Sprintf("body changed to %d bytes", len(r.Body)), id})
			case r.Header.Get("Authorization") != "" || r.Header.Get("X-Tenant") != "soaker":
				out = append(out, problem{"key or customer is wrong", id})
			}
		}
	}
	return out
}

// versions follows which versions of the configuration each daemon shows.
type versions struct {
	fleet *fleet
	load  *load
	// highest is the highest version seen, by daemon and start.
	highest map[string]int
	written map[int]time.Time
	// next is the daemon that is asked first in the next round.
	next int
}

// maxLooked bounds the daemons that are asked in one round.
const maxLooked = 10

// look asks some daemons, all of a small fleet, for the newest versions and
// returns what is wrong.
func (v *versions) look(client *http.Client) []problem {
	var out []problem
	v.fleet.mu.Lock()
	newest := v.fleet.version
	v.fleet.mu.Unlock()
	for range min(maxLooked, len(v.fleet.daemons)) {
		d := v.fleet.daemons[v.next%len(v.fleet.daemons)]
		v.next++
		for version := max(1, newest-2); version <= newest; version++ {
			e := v.load.send(client, d, fmt.Sprintf("/version-%d/", version))
			v.load.add(e)
			name := d.name + e.run.String()
			missing := e.status == http.StatusNotFound
			e.status = 0 // routes of a version are checked here
			switch {
			case missing && version <= v.highest[name] && d.run().Equal(e.run):
				out = append(out, problem{fmt.Sprintf("version %d was in force and is not any more", version), name})
			case missing && e.sent.Sub(v.written[version]) > configBound && d.inTouch(v.written[version]) && d.inTouch(e.sent):
				out = append(out, problem{fmt.Sprintf("version %d is not in force after %s", version, e.sent.Sub(v.written[version])), name})
			case !missing && e.err == nil && !e.refused:
				v.highest[name] = max(v.highest[name], version)
			}
		}
	}
	return out
}

// configBound is the sheets' bound for a configuration to be in force.
const configBound = 2500 * time.Millisecond
