package dev

import (
	"github.com/auburndyke/auburndyke/internal/domain"
)

// sampleKeys are clear-text test keys of the examples; their configurations
// hold only hashes.
var sampleKeys = map[string]struct {
	key      string
	customer domain.CustomerID
}{
	"maraval-bay": {"mb-maraval-surf-school-key", "maraval-surf-school"},
	"fryline":     {"fl-keelwell-oils-key", "keelwell-oils"},
}

// SampleRequest returns an API key, a class and a model with which a first
// request succeeds.
func (f *Fleet) SampleRequest() (key string, class domain.ClassID, model domain.ModelID) {
	sample := sampleKeys[f.options.Example]
	for i := range f.Document.Customers {
		if f.Document.Customers[i].ID == sample.customer {
			class = f.Document.Customers[i].DefaultClass
		}
	}
	if len(f.Document.Models) > 0 {
		model = f.Document.Models[0].ID
	}
	return sample.key, class, model
}
