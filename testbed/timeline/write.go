package timeline

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Write writes rows as a table of text. With domains it tells where idle workers stand.
func Write(w io.Writer, rows []Row, domains bool) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "second\tworkers\topen groups\tworkers in others\tidle by model staged\tloads begun\tended by status\tmoved\tfirst event\tdaemons started")
	for _, r := range rows {
		fmt.Fprintf(t, "%.0f\t%d\t%s\t%s\t%s\t%s\t%s\t%d\t%s\t%d\n", r.At.Seconds(), r.Workers, counts(r.Open), counts(r.Forming), counts(r.Idle),
			counts(r.Loads), counts(r.Ended), r.Resumed, r.FirstEvent.Round(time.Millisecond), r.Started)
		if !domains {
			continue
		}
		for _, domain := range slices.Sorted(maps.Keys(r.IdleIn)) {
			fmt.Fprintf(t, "\t\t\t%s\t%s\n", domain, counts(r.IdleIn[domain]))
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	return writeCauses(w, rows)
}

// writeCauses writes why groups were given up, over all rows.
func writeCauses(w io.Writer, rows []Row) error {
	causes := map[string]int{}
	for _, r := range rows {
		for reason, n := range r.Dissolved {
			causes[reason] += n
		}
	}
	for _, reason := range slices.Sorted(maps.Keys(causes)) {
		if _, err := fmt.Fprintf(w, "groups given up: %d, %s\n", causes[reason], reason); err != nil {
			return err
		}
	}
	return nil
}

// counts writes counts in order of their keys, "-" if there are none.
func counts[K string | int](m map[K]int) string {
	if len(m) == 0 {
		return "-"
	}
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%v:%d", k, m[k]))
	}
	return strings.Join(parts, " ")
}
