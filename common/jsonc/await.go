package jsonc

import (
	"context"
	"errors"
	"io/fs"
	"time"
)

// retryInterval is the interval between attempts to load a file that isn't complete.
const retryInterval = 100 * time.Millisecond

// AwaitComplete loads a file. It waits while the file is missing or ends too early, as one that is still being written,
// until ctx ends. It calls waiting once if it has to wait.
func AwaitComplete[T any](ctx context.Context, load func() (T, error), waiting func(error)) (T, error) {
	for first := true; ; first = false {
		v, err := load()
		if err == nil || !isIncomplete(err) {
			return v, err
		}
		if first {
			waiting(err)
		}
		select {
		case <-ctx.Done():
			return v, err
		case <-time.After(retryInterval):
		}
	}
}

// isIncomplete reports whether a file is missing, or no document at all, as half of one.
func isIncomplete(err error) bool {
	var mistake *Error
	return errors.Is(err, fs.ErrNotExist) || errors.As(err, &mistake) && mistake.Field() == ""
}
