package daemon

import (
	"runtime"
	"strings"

	"github.com/rs/zerolog"
)

const (
	// modulePrefix starts the package paths of this module in stacks.
	modulePrefix = "chutereach/"
	// maxStacks, maxStackBytes and maxDumpBytes limit what logGoroutines writes and the memory that it needs.
	maxStacks     = 40
	maxStackBytes = 2 << 10
	maxDumpBytes  = 1 << 20
)

// logGoroutines writes a line for each goroutine that runs code of this module, other than its own, with its
// state and stack.
func logGoroutines(log zerolog.Logger) {
	dump := make([]byte, maxDumpBytes)
	stacks := strings.Split(string(dump[:runtime.Stack(dump, true)]), "\n\n")
	lines := 0
	for _, stack := range stacks[1:] { // the first is that of this goroutine
		if !strings.Contains(stack, modulePrefix) {
			continue
		}
		if lines++; lines > maxStacks {
			return
		}
		log.Warn().Str("stack", stack[:min(len(stack), maxStackBytes)]).Msg("goroutine is running")
	}
}
