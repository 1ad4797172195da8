package deps

import (
	"math"
	"os"
	"runtime/debug"
)

// goMemoryShare is the part of the process's memory that the Go runtime may take. The rest is for the program
// itself and for what the system keeps for its sockets.
const goMemoryShare = 0.85

// memoryLimitEnv is the environment variable by which the Go runtime itself takes a limit. It goes before the settings.
const memoryLimitEnv = "GOMEMLIMIT"

// limitMemory makes the garbage collector run as often as it takes to stay within the process's memory. Without a
// limit the heap may grow to twice of what is in use before it runs.
func limitMemory(memory int64) {
	if os.Getenv(memoryLimitEnv) != "" {
		return
	}
	debug.SetMemoryLimit(goMemoryLimit(memory))
}

func goMemoryLimit(memory int64) int64 {
	if memory <= 0 {
		return math.MaxInt64
	}
	return int64(goMemoryShare * float64(memory))
}
