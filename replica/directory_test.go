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

func fixedNow() time.Time { return time.Unix(1000, 0) }

func nodeRow(i int, version uint64) store.Row {
	n := Node{Addr: fmt.Sprint("10.0.0.", i, ":8340"), Hall: fmt.Sprint("hall", i%5), Cores: float64(version)}
	return store.Row{Key: fmt.Sprint(nodePrefix, "edge", i), Value: encode(n), At: store.At(0, version)}
}

// TestDirectory_Histories checks that following single rows gives the same contents as reading
// all rows at once, and that earlier snapshots don't change.
func TestDirectory_Histories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		incremental := NewDirectory(fixedNow)
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
			before, _ := incremental.Snapshot()
			versions, nodes := maps.Clone(before.NodeVersions), slices.Clone(before.Nodes)
			nodesChanged := incremental.Apply(store.Update{Rows: changed, At: store.At(0, version)})
			must.Eq(t, versions, before.NodeVersions)
			must.Eq(t, nodes, before.Nodes)

			full := NewDirectory(fixedNow)
			full.Apply(store.Update{Rows: slices.Collect(maps.Values(rows)), Full: true, At: store.At(0, version)})
			got, _ := incremental.Snapshot()
			want, _ := full.Snapshot()
			must.Eq(t, want.NodeVersions, got.NodeVersions)
			must.True(t, slices.Equal(want.Nodes, got.Nodes))
			must.True(t, nodesChanged || slices.Equal(nodes, got.Nodes), must.Sprint("each change of the nodes is reported"))
			must.EqOp(t, want.Holder, got.Holder)
			must.EqOp(t, want.Term, got.Term)
			must.EqOp(t, want.leaseVersion, got.leaseVersion)
			must.EqOp(t, len(want.OtherRows), len(got.OtherRows))
			must.EqOp(t, want.At, got.At)
		}
	})
}

// fleetRows returns the rows of the largest known fleet.
func fleetRows() []store.Row {
	var rows []store.Row
	for i := range 984 {
		rows = append(rows, nodeRow(i, uint64(i+1)))
	}
	return rows
}

// TestDirectory_RenewalCostIsIndependentOfNodes checks that a renewal costs the same however
// many nodes there are: the row of the lease changes more often than all others together.
func TestDirectory_RenewalCostIsIndependentOfNodes(t *testing.T) {
	d := NewDirectory(fixedNow)
	d.Apply(store.Update{Rows: fleetRows(), Full: true, At: store.At(0, 984)})
	renewal := []store.Row{{Key: leaseKey, Value: encode(leaseRow{Holder: "edge1", Term: 1}), At: store.At(0, 985)}}
	allocations := testing.AllocsPerRun(20, func() {
		d.Apply(store.Update{Rows: renewal, At: store.At(0, 985)})
		d.Snapshot()
	})
	must.Less(t, 20, allocations)
}

// BenchmarkDirectory applies all rows of 984 nodes, and a renewal of the lease.
func BenchmarkDirectory(b *testing.B) {
	rows := fleetRows()
	d := NewDirectory(fixedNow)
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
