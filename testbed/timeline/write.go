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

// Write writes rows as a text table and the reasons of dissolved groups below it. With
// domains it adds a line for each domain with idle workers.
func Write(w io.Writer, rows []Row, domains bool) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "second\tworkers\topen groups\tworkers in others\tidle by model staged\tloads begun\tended by status\tmoved\tfirst event\tdaemons started")
	for _, r := range rows {
		fmt.Fprintf(t, "%.0f\t%d\t%s\t%s\t%s\t%s\t%s\t%d\t%s\t%d\n", r.End.Seconds(), r.Workers, formatCounts(r.Open), formatCounts(r.Forming), formatCounts(r.Idle),
			formatCounts(r.Loads), formatCounts(r.Ended), r.Resumed, r.FirstEvent.Round(time.Millisecond), r.Started)
		if !domains {
			continue
		}
		for _, domain := range slices.Sorted(maps.Keys(r.IdleByDomain)) {
			fmt.Fprintf(t, "\t\t\t%s\t%s\n", domain, formatCounts(r.IdleByDomain[domain]))
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	return writeDissolved(w, rows)
}

// writeDissolved writes the number of dissolved groups by reason, over all rows.
func writeDissolved(w io.Writer, rows []Row) error {
	dissolved := map[string]int{}
	for _, r := range rows {
		for reason, n := range r.Dissolved {
			dissolved[reason] += n
		}
	}
	for _, reason := range slices.Sorted(maps.Keys(dissolved)) {
		if _, err := fmt.Fprintf(w, "groups given up: %d, %s\n", dissolved[reason], reason); err != nil {
			return err
		}
	}
	return nil
}

// formatCounts formats counts as KEY:COUNT in the order of the keys, "-" if there are none.
func formatCounts[K string | int](m map[K]int) string {
	if len(m) == 0 {
		return "-"
	}
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%v:%d", k, m[k]))
	}
	return strings.Join(parts, " ")
}
