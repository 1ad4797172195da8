// Package units converts numbers that others wrote, such as rows, messages, headers and
// settings, to durations and counts. A number out of range becomes the nearest bound, and NaN
// becomes 0, on every kind of processor: Go leaves the result of such a conversion to the
// processor, and some give the smallest integer for a very large number.
package units

import "time"

const (
	// MaxDuration bounds durations in both directions. It leaves room for a Unix time in a
	// duration, and for the sum, difference and negation of bounded durations.
	MaxDuration = 100 * 365 * 24 * time.Hour
	// MaxCount bounds counts, which also fit in 32 bits.
	MaxCount = 1<<31 - 1
	// MaxBytes bounds sizes in bytes.
	MaxBytes = 1 << 50
	// MaxAmount bounds rates and amounts of work, so that their sums and products are finite.
	MaxAmount = 1e18
)

// Seconds returns a duration of s seconds.
func Seconds(s float64) time.Duration { return nanoseconds(s * float64(time.Second)) }

// Milliseconds returns a duration of ms milliseconds.
func Milliseconds(ms float64) time.Duration { return nanoseconds(ms * float64(time.Millisecond)) }

// Millis returns a duration of a whole number of milliseconds.
func Millis(ms int64) time.Duration { return multiple(ms, time.Millisecond) }

// Micros returns a duration of a whole number of microseconds.
func Micros(us int64) time.Duration { return multiple(us, time.Microsecond) }

// Count returns the whole part of n, 0 for a negative number.
func Count(n float64) int { return int(clamp(n, 0, MaxCount)) }

// Bytes returns a size of n bytes, 0 for a negative number.
func Bytes(n float64) int64 { return int64(clamp(n, 0, MaxBytes)) }

// Amount returns n from 0 to MaxAmount.
func Amount(n float64) float64 { return clamp(n, 0, MaxAmount) }

func nanoseconds(ns float64) time.Duration {
	return time.Duration(clamp(ns, -float64(MaxDuration), float64(MaxDuration)))
}

func multiple(n int64, unit time.Duration) time.Duration {
	limit := int64(MaxDuration / unit)
	return time.Duration(max(min(n, limit), -limit)) * unit
}

func clamp(n, low, high float64) float64 {
	if n != n { // NaN
		return 0
	}
	return max(min(n, high), low)
}
