// Package experiment plays days of a deployment with several versions of the sources
// and compares them. Each version plays the same days with the same seeds, so that
// differences are taken pair by pair: what a seed brings, all versions get.
package experiment

import (
	"errors"
	"os"

	"github.com/pointpass/pointpass/common/jsonc"
)

// Plan says what is played.
type Plan struct {
	file     string
	why      string
	sites    map[string]string
	days     []string
	seeds    []int
	versions []Version
}

// Version is one state of the sources.
type Version struct {
	// Name is its name in tables.
	Name string `json:"name"`
	// Dir is the folder of the sources, from which the player is run.
	Dir string `json:"dir"`
}

// Versions returns the versions; the first is the one that the others are compared
// with.
func (p *Plan) Versions() []Version { return p.versions }

// filePlan is a plan as it is written.
type filePlan struct {
	Why      string            `json:"why"`
	Sites    map[string]string `json:"sites"`
	Days     []string          `json:"days"`
	Seeds    []int             `json:"seeds"`
	Versions []Version         `json:"versions"`
}

// LoadPlan reads a plan, JSON with comments. Its errors name file, line and field.
func LoadPlan(file string) (*Plan, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	document, err := jsonc.Parse(file, data)
	if err != nil {
		return nil, err
	}
	var f filePlan
	if err := document.Decode(&f); err != nil {
		return nil, err
	}
	if err := f.check(document); err != nil {
		return nil, err
	}
	return &Plan{file: file, why: f.Why, sites: f.Sites, days: f.Days, seeds: f.Seeds, versions: f.Versions}, nil
}

// check returns all mistakes of a plan.
func (f *filePlan) check(document *jsonc.Document) error {
	var mistakes []error
	want := func(holds bool, field, text string) {
		if !holds {
			mistakes = append(mistakes, document.ErrorAt(field, "%s", text))
		}
	}
	want(f.Why != "", "why", "say what is to be found out")
	want(len(f.Sites) > 0, "sites", "want at least one site")
	want(len(f.Days) > 0, "days", "want at least one day")
	want(len(f.Seeds) > 0, "seeds", "want at least one seed; 0 is the day's own")
	want(len(f.Versions) > 0, "versions", "want at least one version")
	seen := map[string]bool{}
	for _, v := range f.Versions {
		want(v.Name != "" && v.Dir != "", "versions", "each version needs a name and a dir")
		want(!seen[v.Name], "versions", "two versions are named "+v.Name)
		seen[v.Name] = true
	}
	return errors.Join(mistakes...)
}
