package store

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// scriptedReader is a Reader with scripted answers.
type scriptedReader struct {
	answers []func() (Snapshot, error)
	since   []Position
	done    context.CancelFunc
}

func (s *scriptedReader) next(since Position) (Snapshot, error) {
	s.since = append(s.since, since)
	if len(s.answers) == 0 {
		s.done()
		return Snapshot{}, context.Canceled
	}
	answer := s.answers[0]
	s.answers = s.answers[1:]
	return answer()
}

func (s *scriptedReader) Rows(context.Context, string) (Snapshot, error) { return s.next(Position{}) }

func (s *scriptedReader) Changes(_ context.Context, _ string, since Position, _ time.Duration) (Snapshot, error) {
	return s.next(since)
}

// follow runs a follower over answers. It returns its updates, the reported health and the
// positions of its calls.
func follow(answers ...func() (Snapshot, error)) (updates []Update, health []error, since []Position) {
	ctx, cancel := context.WithCancel(context.Background())
	reader := &scriptedReader{answers: answers, done: cancel}
	f := &Follower{
		Reader:       reader,
		Table:        "t",
		Wait:         func() time.Duration { return 0 },
		Apply:        func(u Update) { updates = append(updates, u) },
		ReportHealth: func(_ string, err error) { health = append(health, err) },
		Now:          time.Now,
	}
	f.Run(ctx)
	return updates, health, reader.since
}

func answer(version uint64, rows ...Row) func() (Snapshot, error) {
	return func() (Snapshot, error) { return Snapshot{Rows: rows, At: At(0, version)}, nil }
}

func failure(err error) func() (Snapshot, error) {
	return func() (Snapshot, error) { return Snapshot{}, err }
}

func TestFollower_KeepsLastChangeOfEachRow(t *testing.T) {
	updates, _, _ := follow(
		answer(5),
		answer(9, Row{Key: "a", Value: []byte("1"), At: At(0, 6)}, Row{Key: "b", At: At(0, 7)}, Row{Key: "a", Value: []byte("2"), At: At(0, 8)}, Row{Key: "b", Deleted: true, At: At(0, 9)}),
	)
	must.Len(t, 2, updates)
	must.Eq(t, []Row{{Key: "a", Value: []byte("2"), At: At(0, 8)}, {Key: "b", Deleted: true, At: At(0, 9)}}, updates[1].Rows)
}

func TestFollower_ReadsAllRowsAfterLostHistory(t *testing.T) {
	updates, health, since := follow(answer(5), failure(&HistoryLostError{Table: "t"}), answer(20), answer(21))
	must.Eq(t, []Position{{}, At(0, 5), {}, At(0, 20), At(0, 21)}, since)
	must.True(t, updates[1].Full)
	must.Len(t, 2, health)
}

func TestFollower_ResumesAfterFailedCalls(t *testing.T) {
	updates, health, since := follow(answer(5), failure(errors.New("reset")), failure(errors.New("reset")), answer(7))
	must.Eq(t, []Position{{}, At(0, 5), At(0, 5), At(0, 5), At(0, 7)}, since)
	must.Len(t, 2, updates)
	must.Len(t, 2, health)
	must.Error(t, health[0])
	must.NoError(t, health[1])
}

func TestFollower_EvidenceIsTimeOfCall(t *testing.T) {
	sent := time.Unix(100, 0)
	var update Update
	f := &Follower{
		Reader: &scriptedReader{answers: []func() (Snapshot, error){answer(3)}},
		Apply:  func(u Update) { update = u },
		Now:    func() time.Time { return sent },
	}
	_, err := f.step(context.Background(), Position{})
	must.NoError(t, err)
	must.Eq(t, sent, update.Evidence)
}

// Guards against mistaking a full read after a restore of the store for one after dropped
// history.
func TestFollower_ReportsRestore(t *testing.T) {
	at := func(p Position) func() (Snapshot, error) {
		return func() (Snapshot, error) { return Snapshot{At: p}, nil }
	}
	updates, _, since := follow(at(At(1, 90)), at(At(1, 95)), failure(&HistoryLostError{Era: 2}), failure(errors.New("reset")), at(At(2, 40)), at(At(2, 41)))
	must.Eq(t, []Position{{}, At(1, 90), At(1, 95), {}, {}, At(2, 40), At(2, 41)}, since)
	var restored []bool
	for _, u := range updates {
		restored = append(restored, u.Restored)
	}
	must.Eq(t, []bool{false, false, true, false}, restored)
}

// Guards against taking a larger version of an earlier era for the later position.
func TestPosition_ComparesEraFirst(t *testing.T) {
	ascending := []Position{{}, At(0, 1), At(0, 9), At(1, 0), At(1, 5), At(2, 4)}
	for i, p := range ascending {
		for j, other := range ascending {
			must.EqOp(t, i < j, p.Before(other))
			must.EqOp(t, ascending[max(i, j)], Later(p, other))
		}
	}
}
