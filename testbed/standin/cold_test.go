package standin

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	// coldDaemons are few enough that each may send to each cold worker.
	coldDaemons = 4
	// coldCallers ask each daemon at a time, far more than a cold worker bears.
	coldCallers = 8
	// moreThan is what a cold worker gets in two seconds and more.
	moreThan = 40
)

// TestCold_AllDaemonsKeepTheBound: callers ask for far more than a cold worker bears, also
// after all daemons have started again at once. The judge counts what it gets.
func TestCold_AllDaemonsKeepTheBound(t *testing.T) {
	s := newStage(t, 0)
	s.config.Version++
	s.config.Services[0].ColdS = 60
	s.config.Services[0].ColdPerS = 18
	s.store.Apply(s.config)
	for i := range coldDaemons {
		s.start(i == 0)
	}
	s.addWorker("cold", "app", "").SetCold(time.Minute)
	stop := s.press("/get/x", coldCallers)
	eventually(t, "the cold worker gets requests", func() bool { return s.store.Judge().Arrivals("cold") > moreThan })
	stop()
	before := s.store.Judge().Arrivals("cold")
	s.restartAll()
	stop = s.press("/get/x", coldCallers)
	defer stop()
	eventually(t, "it gets some again", func() bool { return s.store.Judge().Arrivals("cold") > before+moreThan })
}

// restartAll kills all daemons and starts them again under their names.
func (s *stage) restartAll() {
	for _, d := range s.daemons {
		d.Kill()
	}
	for i := range s.daemons {
		d, kill, err := Start(program, s.t.TempDir(), fmt.Sprint("edge-", i), s.store, Setup{})
		must.NoError(s.t, err)
		s.t.Cleanup(kill)
		s.daemons[i] = d
	}
	for _, d := range s.daemons {
		eventually(s.t, "a daemon gets ready", d.Ready)
	}
}
