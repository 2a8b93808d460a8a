package kit3

import (
	"os"
	"testing"
)

// TestMain runs the case that KIT_CASE names and writes KIT_RECORD.
func TestMain(*testing.M) {
	var err error
	if recordFile, err = os.Create(os.Getenv("KIT_RECORD")); err != nil {
		os.Exit(2)
	}
	if folder, err = os.MkdirTemp("", "kit3-"); err != nil {
		os.Exit(2)
	}
	run, known := cases[os.Getenv("KIT_CASE")]
	if !known {
		cannotRun("no case %q", os.Getenv("KIT_CASE"))
	}
	run()
}
