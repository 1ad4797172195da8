package quarantine

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestFingerprint_TellsContentsApart(t *testing.T) {
	k := NewKey()
	c := Content{Customer: "desk", Host: "games.example", Target: "/ask/q?x=1", Body: []byte("question")}
	must.Eq(t, k.Of(c), k.Of(c))
	must.StrNotContains(t, string(k.Of(c)), "question")
	others := []Content{
		{Customer: "des", Host: "kgames.example", Target: "/ask/q?x=1", Body: []byte("question")},
		{Customer: "desk", Host: "games.example", Target: "/ask/q?x=2", Body: []byte("question")},
		{Customer: "desk", Host: "games.example", Target: "/ask/q?x=1", Body: []byte("questions")},
		{Customer: "other", Host: "games.example", Target: "/ask/q?x=1", Body: []byte("question")},
	}
	for _, other := range others {
		must.NotEq(t, k.Of(c), k.Of(other))
	}
	must.NotEq(t, k.Of(c), NewKey().Of(c))
}

func BenchmarkFingerprint(b *testing.B) {
	k := NewKey()
	c := Content{Customer: "desk", Host: "games.example", Target: "/ask/q", Body: make([]byte, 1500)}
	b.ReportAllocs()
	for b.Loop() {
		k.Of(c)
	}
}
