package deps

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestConfigWait_KeepsEvidenceYoungEnough checks that a daemon whose store answers
// never takes its own evidence for too old, whatever bound it was given.
func TestConfigWait_KeepsEvidenceYoungEnough(t *testing.T) {
	for revoke := time.Second; revoke <= time.Minute; revoke += 250 * time.Millisecond {
		age := mostAge(revoke)
		must.Less(t, revoke, age, must.Sprint(revoke))
		must.LessEq(t, age, 2*configWait(age)+storeAnswer, must.Sprint(revoke))
	}
	must.EqOp(t, mostConfigWait, configWait(mostAge(5*time.Second)))
}

// storeAnswer is what a sound store takes for an answer.
const storeAnswer = 100 * time.Millisecond
