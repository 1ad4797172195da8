package load

import (
	"testing"

	"github.com/shoenig/test/must"
)

var asked = Model{Service: "llm", Name: "m"}

func TestParts_AreUnknownUntilASumIsTold(t *testing.T) {
	p := NewParts()
	p.Note(Offered{asked: 1}, Offered{}, 0)
	_, known := p.Part(asked)
	must.False(t, known)
}

func TestParts_BeginEvenAndFollowWhatIsAsked(t *testing.T) {
	p := NewParts()
	p.Note(Offered{asked: 3}, Offered{asked: 10}, 10)
	part, known := p.Part(asked)
	must.True(t, known)
	must.Between(t, 0.1, part, 0.14, must.Sprint("one report tells little"))
	for range 200 {
		p.Note(Offered{asked: 3}, Offered{asked: 10}, 10)
	}
	part, _ = p.Part(asked)
	must.Between(t, 0.29, part, 0.31)
}

// TestParts_ASurgeLeavesThemAsTheyAre: what all are asked for grows alike, though a daemon's
// own report tells of it first.
func TestParts_ASurgeLeavesThemAsTheyAre(t *testing.T) {
	p := NewParts()
	for range 100 {
		p.Note(Offered{asked: 1}, Offered{asked: 10}, 10)
	}
	p.Note(Offered{asked: 2.5}, Offered{asked: 10}, 10)
	for range 8 {
		p.Note(Offered{asked: 2.5}, Offered{asked: 25}, 10)
	}
	part, _ := p.Part(asked)
	must.Between(t, 0.09, part, 0.11)
}
