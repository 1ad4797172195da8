package replica

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/pointpass/pointpass/store"
)

func stopped() time.Time { return time.Unix(1000, 0) }

func nodeRow(i int, version uint64) store.Row {
	n := Node{Addr: fmt.Sprint("10.0.0.", i, ":8340"), Hall: fmt.Sprint("hall", i%5), Cores: float64(version)}
	return store.Row{Key: fmt.Sprint(nodePrefix, "edge", i), Value: encode(n), At: store.At(0, version)}
}

// TestDirectory_Histories: what is followed row by row is what all rows read at once tell,
// and what was handed out before does not change under its reader.
func TestDirectory_Histories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		followed := NewDirectory(stopped)
		rows := map[string]store.Row{}
		for version := range uint64(rapid.IntRange(1, 40).Draw(t, "steps")) {
			version++
			var changed []store.Row
			for range rapid.IntRange(0, 3).Draw(t, "changes") {
				r := nodeRow(rapid.IntRange(0, 4).Draw(t, "node"), version)
				switch rapid.IntRange(0, 3).Draw(t, "what") {
				case 0:
					r = store.Row{Key: leaseKey, Value: encode(leaseRow{Holder: "edge1", Term: version}), At: store.At(0, version)}
				case 1:
					r = store.Row{Key: "held/x", Value: []byte{byte(version)}, At: store.At(0, version)}
				}
				r.Deleted = rapid.IntRange(0, 3).Draw(t, "deleted") == 0
				changed = append(changed, r)
				rows[r.Key] = r
				if r.Deleted {
					delete(rows, r.Key)
				}
			}
			before, _ := followed.Known()
			versions, nodes := maps.Clone(before.Announced), slices.Clone(before.Nodes)
			others := followed.Apply(store.Update{Rows: changed, At: store.At(0, version)})
			must.Eq(t, versions, before.Announced)
			must.Eq(t, nodes, before.Nodes)

			read := NewDirectory(stopped)
			read.Apply(store.Update{Rows: slices.Collect(maps.Values(rows)), Full: true, At: store.At(0, version)})
			got, _ := followed.Known()
			want, _ := read.Known()
			must.Eq(t, want.Announced, got.Announced)
			must.True(t, slices.Equal(want.Nodes, got.Nodes))
			must.True(t, others || slices.Equal(nodes, got.Nodes), must.Sprint("who goes by the nodes is told of each change"))
			must.EqOp(t, want.Holder, got.Holder)
			must.EqOp(t, want.Term, got.Term)
			must.EqOp(t, want.leaseVersion, got.leaseVersion)
			must.EqOp(t, len(want.Others), len(got.Others))
			must.EqOp(t, want.At, got.At)
		}
	})
}

// fleetRows are the rows of the largest fleet known.
func fleetRows() []store.Row {
	var rows []store.Row
	for i := range 984 {
		rows = append(rows, nodeRow(i, uint64(i+1)))
	}
	return rows
}

// TestDirectory_ARenewalCostsNothingOfTheNodes: the lease's row changes more often than all
// others together, and a renewal costs the same however many nodes there are.
func TestDirectory_ARenewalCostsNothingOfTheNodes(t *testing.T) {
	d := NewDirectory(stopped)
	d.Apply(store.Update{Rows: fleetRows(), Full: true, At: store.At(0, 984)})
	renewal := []store.Row{{Key: leaseKey, Value: encode(leaseRow{Holder: "edge1", Term: 1}), At: store.At(0, 985)}}
	allocations := testing.AllocsPerRun(20, func() {
		d.Apply(store.Update{Rows: renewal, At: store.At(0, 985)})
		d.Known()
	})
	must.Less(t, 20, allocations)
}

// BenchmarkDirectory takes in all rows of 984 nodes, and a renewal of the lease.
func BenchmarkDirectory(b *testing.B) {
	rows := fleetRows()
	d := NewDirectory(stopped)
	b.Run("all", func(b *testing.B) {
		for b.Loop() {
			d.Apply(store.Update{Rows: rows, Full: true, At: store.At(0, 984)})
		}
	})
	renewal := []store.Row{{Key: leaseKey, Value: encode(leaseRow{Holder: "edge1", Term: 1}), At: store.At(0, 985)}}
	b.Run("renewal", func(b *testing.B) {
		for b.Loop() {
			d.Apply(store.Update{Rows: renewal, At: store.At(0, 985)})
		}
	})
}
