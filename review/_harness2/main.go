// Command _harness2 plays the cases of the second review: it starts the daemons of the
// deploy file as separate processes, with stand-ins for the platform, the minions and the
// clients, all on loopback.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	held = iota
	broken
	couldNotRun
)

// errBroken means that the rule was broken.
var errBroken = errors.New("the rule was broken")

// scenario plays a case. It returns errBroken if the rule was broken and another error if
// the case could not run.
type scenario func(rec *recorder, dir string, trouble bool) error

var scenarios = map[string]scenario{
	"frozen":  frozenAcceptsIntoOldPool,
	"restart": restartForgetsMoves,
	"hup":     settingsSignalWhileStopping,
	"cutoff":  requestCutAtTheEndOfAStop,
	"pending": restartForgetsWaiting,
	"poison":  poisonJobStopsPool,
	"move":    moveSentAgain,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness SCENARIO RECORD")
		return couldNotRun
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("logs in", filepath.Clean(dir))
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.event("case %s, disruption: %v", os.Args[1], trouble)
	err = scenarios[os.Args[1]](rec, dir, trouble)
	switch {
	case err == nil:
		rec.event("result: the rule held")
		fmt.Println("the rule held")
		return held
	case errors.Is(err, errBroken):
		rec.event("result: %v", err)
		fmt.Println(err)
		return broken
	default:
		rec.event("could not run: %v", err)
		fmt.Println("could not run:", err)
		return couldNotRun
	}
}
