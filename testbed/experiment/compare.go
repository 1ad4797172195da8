package experiment

import (
	"maps"
	"math"
	"slices"
)

// Summary is what a version showed on one site, against the first version of the plan.
type Summary struct {
	Version, Site string
	// Pairs is how many plays both versions have figures of. All means are over these.
	Pairs int
	// Days is the mean worth of each day.
	Days map[string]float64
	// Mean is the mean worth, and Calls, Downtime and Stranded the means of these
	// figures of a report.
	Mean, Calls, Downtime, Stranded float64
	// Difference is the mean of the differences in worth, pair by pair, and Error its
	// standard error: what lies within twice that of 0 may be chance.
	Difference, Error float64
	// Failed is how many plays gave no figures, Broken how many broke a rule.
	Failed, Broken int
}

// Compare summarises results by version and site, in the order of the plan.
func Compare(results []Result) []Summary {
	if len(results) == 0 {
		return nil
	}
	base := results[0].Play.Version.Name
	var summaries []Summary
	type group struct{ version, site string }
	var order []group
	grouped := map[group][]Result{}
	for _, r := range results {
		g := group{version: r.Play.Version.Name, site: r.Play.Site}
		if _, known := grouped[g]; !known {
			order = append(order, g)
		}
		grouped[g] = append(grouped[g], r)
	}
	for _, g := range order {
		summaries = append(summaries, summarise(g.version, g.site, grouped[g], grouped[group{version: base, site: g.site}]))
	}
	return summaries
}

// reports returns the reports of plays that have one.
func reports(results []Result) map[key]Report {
	m := map[key]Report{}
	for _, r := range results {
		if r.Err == nil {
			m[keyOf(r.Play)] = r.Report
		}
	}
	return m
}

func summarise(version, site string, own, base []Result) Summary {
	s := Summary{Version: version, Site: site, Days: map[string]float64{}}
	for _, r := range own {
		if r.Err != nil {
			s.Failed++
		} else if r.Report.Broken != "" {
			s.Broken++
		}
	}
	mine, others := reports(own), reports(base)
	var differences []float64
	byDay := map[string][]float64{}
	var worths, calls, downtimes, strandeds []float64
	for _, k := range slices.SortedFunc(maps.Keys(mine), compareKeys) {
		other, paired := others[k]
		if !paired {
			continue
		}
		r := mine[k]
		differences = append(differences, r.Worth-other.Worth)
		byDay[k.day] = append(byDay[k.day], r.Worth)
		worths = append(worths, r.Worth)
		calls = append(calls, r.Calls)
		downtimes = append(downtimes, r.Downtime)
		strandeds = append(strandeds, r.Stranded)
	}
	for day, list := range byDay {
		s.Days[day] = mean(list)
	}
	s.Pairs = len(differences)
	s.Mean = mean(worths)
	s.Calls = mean(calls)
	s.Downtime = mean(downtimes)
	s.Stranded = mean(strandeds)
	s.Difference = mean(differences)
	s.Error = standardError(differences)
	return s
}

// mean returns the mean, 0 of nothing.
func mean(list []float64) float64 {
	if len(list) == 0 {
		return 0
	}
	sum := 0.0
	for _, v := range list {
		sum += v
	}
	return sum / float64(len(list))
}

// standardError returns the standard error of the mean, 0 of fewer than two.
func standardError(list []float64) float64 {
	n := float64(len(list))
	if n < 2 {
		return 0
	}
	m := mean(list)
	squares := 0.0
	for _, v := range list {
		squares += (v - m) * (v - m)
	}
	return math.Sqrt(squares / (n - 1) / n)
}
