// Package examples embeds the example configurations, so that the dev command
// and tests need no files.
package examples

import (
	"embed"
	"io/fs"
	"path"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/auburndyke/auburndyke/internal/policy"
)

//go:embed */*.toml
var files embed.FS

// configurationFiles are the parts of one shared configuration.
var configurationFiles = []string{"policy.toml", "customers.toml", "upstreams.toml"}

// Names lists the examples.
func Names() []string {
	entries, err := files.ReadDir(".")
	if err != nil {
		return nil
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	slices.Sort(names)
	return names
}

// Sources returns the configuration files of one example.
func Sources(name string) ([]policy.Source, error) {
	sources := make([]policy.Source, 0, len(configurationFiles))
	for _, file := range configurationFiles {
		data, err := fs.ReadFile(files, path.Join(name, file))
		if err != nil {
			return nil, eris.Errorf("example %q does not exist; there are %v", name, Names())
		}
		sources = append(sources, policy.Source{Name: path.Join(name, file), Data: data})
	}
	return sources, nil
}

// Load returns the configuration of one example.
func Load(name string) (*policy.Document, error) {
	sources, err := Sources(name)
	if err != nil {
		return nil, err
	}
	document, list := policy.DecodeFiles(sources...)
	return document, list.Err()
}
