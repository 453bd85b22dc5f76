package policy

import (
	"k8s.io/apimachinery/pkg/labels"
	"k8s.io/apimachinery/pkg/selection"
)

// Selector chooses customers, classes or upstreams by their labels, in the
// syntax of Kubernetes label selectors. The zero value matches everything.
type Selector struct {
	text     string
	selector labels.Selector
}

// ParseSelector reads a label selector such as "audience=guest, size!=large".
// An empty text matches everything.
func ParseSelector(text string) (Selector, error) {
	s, err := labels.Parse(text)
	if err != nil {
		return Selector{}, err
	}
	return Selector{text: text, selector: s}, nil
}

// Matches reports whether the selector accepts a set of labels.
func (s Selector) Matches(set map[string]string) bool {
	return s.selector == nil || s.selector.Matches(labels.Set(set))
}

// String returns the selector as it was written.
func (s Selector) String() string { return s.text }

// MarshalText returns the selector as it was written.
func (s Selector) MarshalText() ([]byte, error) { return []byte(s.text), nil }

// UnmarshalText reads a selector like ParseSelector.
func (s *Selector) UnmarshalText(text []byte) error {
	parsed, err := ParseSelector(string(text))
	if err != nil {
		return err
	}
	*s = parsed
	return nil
}

// Allowed describes the syntax for findings.
func (s *Selector) Allowed() string {
	return `label selector such as "audience=guest, size in (large, small), !trial"`
}

// keys adds the label keys that the selector looks at.
func (s Selector) keys(into map[string]bool) {
	if s.selector == nil {
		return
	}
	requirements, _ := s.selector.Requirements()
	for _, r := range requirements {
		into[r.Key()] = true
	}
}

// requirement demands that a label has one of several values.
type requirement struct {
	key    string
	values []string
}

// required lists the requirements that demand certain values.
func (s Selector) required() []requirement {
	if s.selector == nil {
		return nil
	}
	var list []requirement
	requirements, _ := s.selector.Requirements()
	for _, r := range requirements {
		switch r.Operator() {
		case selection.In, selection.Equals, selection.DoubleEquals:
			list = append(list, requirement{r.Key(), r.ValuesUnsorted()})
		}
	}
	return list
}

func (s Selector) matchesView(view labels.Labels) bool {
	return s.selector == nil || s.selector.Matches(view)
}

// unmet lists the requirements that a set of labels does not meet.
func (s Selector) unmet(view labels.Labels) []string {
	if s.selector == nil {
		return nil
	}
	var unmet []string
	requirements, _ := s.selector.Requirements()
	for _, r := range requirements {
		if !r.Matches(view) {
			unmet = append(unmet, r.String())
		}
	}
	return unmet
}
