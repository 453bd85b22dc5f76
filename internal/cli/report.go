package cli

import (
	"errors"
	"fmt"
	"io"

	"github.com/auburndyke/auburndyke/internal/administration"
)

var exitCodeOf = map[administration.ErrorCode]int{
	administration.CodeUnauthenticated: ExitRefused,
	administration.CodeForbidden:       ExitRefused,
	administration.CodeFindings:        ExitFindings,
	administration.CodeBaseUnknown:     ExitConflict,
	administration.CodeConflict:        ExitConflict,
	administration.CodeChangeIDReused:  ExitConflict,
	administration.CodeForceRequired:   ExitForce,
	administration.CodeUnavailable:     ExitUnavailable,
	administration.CodeNotReady:        ExitUnavailable,
	administration.CodeInternal:        ExitUnavailable,
	administration.CodeUnknownOutcome:  ExitUnknown,
}

// report prints the details of a failed call and gives it its exit code.
func (c *adminClient) report(w io.Writer, err error) error {
	var answer *administration.ErrorResponse
	var unreachable *unreachableError
	switch {
	case errors.As(err, &unreachable):
		return &ExitError{ExitUnavailable, err}
	case !errors.As(err, &answer):
		return err
	}
	code, ok := exitCodeOf[answer.Code]
	if !ok {
		code = ExitUsage
	}
	if c.format == outputJSON {
		if err := writeJSON(w, answer); err != nil {
			return err
		}
	} else if err := writeFailure(w, answer); err != nil {
		return err
	}
	return &ExitError{code, answer}
}

func writeFailure(w io.Writer, a *administration.ErrorResponse) error {
	p := &printer{w: w}
	for _, f := range a.Findings {
		p.printf("%s\n", f)
	}
	for _, c := range a.Conflicts {
		p.printf("conflict at %s: base %s, mine %s, theirs %s\n", orNone(c.Path), orNone(c.Base), orNone(c.Mine), orNone(c.Theirs))
	}
	writeWarnings(p, a.Warnings)
	if a.Drain != nil {
		writeDrain(p, *a.Drain)
	}
	if a.ChangeID != "" && (a.Drain != nil || a.Code == administration.CodeUnknownOutcome) {
		p.printf("repeat with --change-id %s --base %d\n", a.ChangeID, a.Base)
	}
	return p.err
}

func writeWarnings(p *printer, warnings []administration.Warning) {
	for _, w := range warnings {
		p.printf("warning %s: %s", w.Code, w.Message)
		if len(w.Customers) > 0 {
			p.printf(" %v", w.Customers)
		}
		p.printf("\n")
	}
}

// writeChange prints the answer to a change.
func (c *adminClient) writeChange(w io.Writer, a administration.ChangeResponse) error {
	if c.format == outputJSON {
		return writeJSON(w, a)
	}
	p := &printer{w: w}
	p.printf("%s\n", verdictText(a))
	for _, f := range a.Findings {
		p.printf("%s\n", f)
	}
	writeWarnings(p, a.Warnings)
	for _, x := range a.Conflicts {
		p.printf("conflict at %s: base %s, mine %s, theirs %s\n", orNone(x.Path), orNone(x.Base), orNone(x.Mine), orNone(x.Theirs))
	}
	if p.err != nil {
		return p.err
	}
	if err := writeDiff(w, diffReport{a.Changes, a.Impact}); err != nil {
		return err
	}
	if more := a.ImpactTotal - len(a.Impact); more > 0 {
		p.printf("  and %d more\n", more)
	}
	if a.Drain != nil {
		writeDrain(p, *a.Drain)
	}
	return p.err
}

func verdictText(a administration.ChangeResponse) string {
	switch a.Verdict {
	case administration.VerdictDryRun:
		return fmt.Sprintf("dry run from revision %d; nothing was changed", a.Base)
	case administration.VerdictUnchanged:
		return fmt.Sprintf("revision %d has this content already", a.Revision)
	}
	text := fmt.Sprintf("accepted as revision %d", a.Revision)
	if a.Merged {
		text += fmt.Sprintf(", merged with the changes since revision %d", a.Base)
	}
	if a.Repeated {
		text += ", by an earlier call"
	}
	return text
}
