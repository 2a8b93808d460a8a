// Chutereachd runs one entry box of a chutereach cell, or with the argument
// "node" one node of a system on the users' platform.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"chutereach/box"
	"chutereach/daemon"
	"chutereach/guard"
	"chutereach/logs"
	"chutereach/settings"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

// nodeCommand is the argument that selects the users' platform.
const nodeCommand = "node"

func main() {
	args := os.Args[1:]
	if len(args) > 0 && args[0] == nodeCommand {
		os.Exit(daemon.Main(args[1:]))
	}
	os.Exit(run(args))
}

func run(args []string) int {
	set, err := settings.Load(args)
	var help *settings.HelpError
	switch {
	case errors.As(err, &help):
		fmt.Println(help.Text)
		return 0
	case err != nil:
		fmt.Fprintf(os.Stderr, "chutereachd: %v\n", err)
		return exitSettings
	case set.Check:
		fmt.Print(set.Print())
		return 0
	}
	guard.LimitHeap(set.Box.Memory)
	b, err := box.New(set, logs.New(os.Stderr, set.Log.JSON, set.Level()))
	if err != nil {
		fmt.Fprintf(os.Stderr, "chutereachd: %v\n", err)
		return exitSettings
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	if err := b.Run(ctx); err != nil {
		fmt.Fprintf(os.Stderr, "chutereachd: %v\n", err)
		return exitFailed
	}
	return 0
}
