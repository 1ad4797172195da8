// Package experiment simulates days of a deployment with several versions of the sources
// and compares the results. All versions run the same days with the same seeds, so that
// results are compared in pairs and the influence of the seed cancels out.
package experiment

import (
	"errors"
	"os"

	"github.com/pointpass/pointpass/common/jsonc"
)

// Plan describes an experiment: which versions run which days of which sites with which
// seeds.
type Plan struct {
	file     string
	why      string
	sites    map[string]string
	days     []string
	seeds    []int
	versions []Version
}

// Version is a checkout of the sources.
type Version struct {
	// Name identifies the version in tables and plots.
	Name string `json:"name"`
	// Dir is the folder of the sources. The player runs in it.
	Dir string `json:"dir"`
}

// Versions returns the versions of the plan. The first is the baseline of all comparisons.
func (p *Plan) Versions() []Version { return p.versions }

// filePlan is the JSON form of a plan.
type filePlan struct {
	Why      string            `json:"why"`
	Sites    map[string]string `json:"sites"`
	Days     []string          `json:"days"`
	Seeds    []int             `json:"seeds"`
	Versions []Version         `json:"versions"`
}

// LoadPlan reads a plan, which is JSON with comments. Its errors name file, line and field.
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

// check returns all errors of a plan.
func (f *filePlan) check(document *jsonc.Document) error {
	var errs []error
	require := func(ok bool, field, text string) {
		if !ok {
			errs = append(errs, document.ErrorAt(field, "%s", text))
		}
	}
	require(f.Why != "", "why", "want the question that the experiment answers")
	require(len(f.Sites) > 0, "sites", "want at least one site")
	require(len(f.Days) > 0, "days", "want at least one day")
	require(len(f.Seeds) > 0, "seeds", "want at least one seed; 0 is the default seed of the day")
	require(len(f.Versions) > 0, "versions", "want at least one version")
	seen := map[string]bool{}
	for _, v := range f.Versions {
		require(v.Name != "" && v.Dir != "", "versions", "each version needs a name and a dir")
		require(!seen[v.Name], "versions", "two versions are named "+v.Name)
		seen[v.Name] = true
	}
	return errors.Join(errs...)
}
