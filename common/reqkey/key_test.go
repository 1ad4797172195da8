package reqkey

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/shoenig/test/must"
)

func TestTime_ReadsOnlyVersion7(t *testing.T) {
	before := time.Now().Truncate(time.Millisecond)
	created, dated := Time(New())
	must.True(t, dated)
	must.False(t, created.Before(before))
	for _, key := range []string{"", "order-17", uuid.NewString(), "urn:uuid:" + New(), "{" + New() + "}"} {
		_, dated := Time(key)
		must.False(t, dated, must.Sprint(key))
	}
}

func FuzzTime(f *testing.F) {
	f.Add(New())
	f.Add("018f0000-0000-7000-8000-000000000000")
	f.Fuzz(func(t *testing.T, key string) {
		created, dated := Time(key)
		must.EqOp(t, dated, !created.IsZero())
		slot := Slot("customer", key, 64)
		must.True(t, slot >= 0 && slot < 64)
	})
}
