package experiment

import (
	"maps"
	"math"
	"slices"
)

// Summary compares a version on one site with the first version of the plan.
type Summary struct {
	Version, Site string
	// Pairs is the number of trials for which both versions have a report. All means are
	// over these.
	Pairs int
	// Days is the mean worth by day.
	Days map[string]float64
	// Mean is the mean worth. Calls, Downtime and Stranded are the means of the fields of
	// Report with these names.
	Mean, Calls, Downtime, Stranded float64
	// Difference is the mean of the paired differences in worth, and Error its standard
	// error. A difference of less than two standard errors may be chance.
	Difference, Error float64
	// Failed is the number of trials without a report, Broken the number that broke a
	// rule.
	Failed, Broken int
}

// Compare summarizes results by version and site, in the order of the plan.
func Compare(results []Result) []Summary {
	if len(results) == 0 {
		return nil
	}
	base := results[0].Trial.Version.Name
	var summaries []Summary
	type group struct{ version, site string }
	var order []group
	byGroup := map[group][]Result{}
	for _, r := range results {
		g := group{version: r.Trial.Version.Name, site: r.Trial.Site}
		if _, exists := byGroup[g]; !exists {
			order = append(order, g)
		}
		byGroup[g] = append(byGroup[g], r)
	}
	for _, g := range order {
		summaries = append(summaries, summarize(g.version, g.site, byGroup[g], byGroup[group{version: base, site: g.site}]))
	}
	return summaries
}

// reportsByPair returns the reports of the successful trials.
func reportsByPair(results []Result) map[pairKey]Report {
	m := map[pairKey]Report{}
	for _, r := range results {
		if r.Err == nil {
			m[pairKeyOf(r.Trial)] = r.Report
		}
	}
	return m
}

func summarize(version, site string, results, base []Result) Summary {
	s := Summary{Version: version, Site: site, Days: map[string]float64{}}
	for _, r := range results {
		if r.Err != nil {
			s.Failed++
		} else if r.Report.Broken != "" {
			s.Broken++
		}
	}
	reports, baseReports := reportsByPair(results), reportsByPair(base)
	var differences []float64
	byDay := map[string][]float64{}
	var worth, calls, downtime, stranded []float64
	for _, k := range slices.SortedFunc(maps.Keys(reports), comparePairKeys) {
		baseReport, paired := baseReports[k]
		if !paired {
			continue
		}
		r := reports[k]
		differences = append(differences, r.Worth-baseReport.Worth)
		byDay[k.day] = append(byDay[k.day], r.Worth)
		worth = append(worth, r.Worth)
		calls = append(calls, r.Calls)
		downtime = append(downtime, r.Downtime)
		stranded = append(stranded, r.Stranded)
	}
	for day, list := range byDay {
		s.Days[day] = mean(list)
	}
	s.Pairs = len(differences)
	s.Mean = mean(worth)
	s.Calls = mean(calls)
	s.Downtime = mean(downtime)
	s.Stranded = mean(stranded)
	s.Difference = mean(differences)
	s.Error = standardError(differences)
	return s
}

// mean returns the arithmetic mean, or 0 for an empty list.
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

// standardError returns the standard error of the mean, or 0 for fewer than two values.
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
