package load

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestFit_FindsTheLine(t *testing.T) {
	line := Fit([]float64{1, 2, 3, 4}, []float64{5, 7, 9, 11})
	must.EqOp(t, 2, line.Slope)
	must.EqOp(t, 3, line.Intercept)
	must.EqOp(t, 23, line.At(10))
}
