package store

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// scripted is a Reader that gives prepared answers.
type scripted struct {
	answers []func() (Snapshot, error)
	since   []uint64
	done    context.CancelFunc
}

func (s *scripted) next(since uint64) (Snapshot, error) {
	s.since = append(s.since, since)
	if len(s.answers) == 0 {
		s.done()
		return Snapshot{}, context.Canceled
	}
	answer := s.answers[0]
	s.answers = s.answers[1:]
	return answer()
}

func (s *scripted) Rows(context.Context, string) (Snapshot, error) { return s.next(0) }

func (s *scripted) Changes(_ context.Context, _ string, since uint64, _ time.Duration) (Snapshot, error) {
	return s.next(since)
}

// follow runs a follower over answers and returns its updates, the health
// reports and the versions asked from.
func follow(answers ...func() (Snapshot, error)) (updates []Update, health []error, since []uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	reader := &scripted{answers: answers, done: cancel}
	f := &Follower{
		Reader: reader,
		Table:  "t",
		Wait:   func() time.Duration { return 0 },
		Apply:  func(u Update) { updates = append(updates, u) },
		Health: func(_ string, err error) { health = append(health, err) },
		Now:    time.Now,
	}
	f.Run(ctx)
	return updates, health, reader.since
}

func answer(version uint64, rows ...Row) func() (Snapshot, error) {
	return func() (Snapshot, error) { return Snapshot{Rows: rows, Version: version}, nil }
}

func failure(err error) func() (Snapshot, error) {
	return func() (Snapshot, error) { return Snapshot{}, err }
}

func TestChangesOfOneRowInOneAnswerLeaveTheLast(t *testing.T) {
	updates, _, _ := follow(
		answer(5),
		answer(9, Row{Key: "a", Value: []byte("1"), Version: 6}, Row{Key: "b", Version: 7}, Row{Key: "a", Value: []byte("2"), Version: 8}, Row{Key: "b", Deleted: true, Version: 9}),
	)
	must.Len(t, 2, updates)
	must.Eq(t, []Row{{Key: "a", Value: []byte("2"), Version: 8}, {Key: "b", Deleted: true, Version: 9}}, updates[1].Rows)
}

func TestLostHistoryIsReadAnew(t *testing.T) {
	updates, health, since := follow(answer(5), failure(&HistoryLostError{Table: "t"}), answer(20), answer(21))
	must.Eq(t, []uint64{0, 5, 0, 20, 21}, since)
	must.True(t, updates[1].Full)
	must.Len(t, 2, health)
}

func TestFailedCallsGoOnFromWhereTheyWere(t *testing.T) {
	updates, health, since := follow(answer(5), failure(errors.New("reset")), failure(errors.New("reset")), answer(7))
	must.Eq(t, []uint64{0, 5, 5, 5, 7}, since)
	must.Len(t, 2, updates)
	must.Len(t, 2, health)
	must.Error(t, health[0])
	must.NoError(t, health[1])
}

func TestEvidenceIsAsOldAsTheQuestion(t *testing.T) {
	asked := time.Unix(100, 0)
	var update Update
	f := &Follower{
		Reader: &scripted{answers: []func() (Snapshot, error){answer(3)}},
		Apply:  func(u Update) { update = u },
		Now:    func() time.Time { return asked },
	}
	_, err := f.step(context.Background(), 0)
	must.NoError(t, err)
	must.Eq(t, asked, update.Evidence)
}
