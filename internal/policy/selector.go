package policy

import (
	"k8s.io/apimachinery/pkg/labels"
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
