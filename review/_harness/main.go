// Command harness plays the scripted cases of the review: it starts the project's
// daemon as separate processes on loopback addresses, with stand-ins of the store,
// the cloud, the workers and the clients, and checks one rule.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

// outcome is the result of a case: the rule was broken if broken is set, and text
// says what was seen.
type outcome struct {
	broken bool
	text   string
}

// scenario plays one case, with its disruption if trouble is set.
type scenario func(d *deployment, trouble bool) (outcome, error)

var scenarios = map[string]scenario{
	"many-ends":    manyEnds,
	"run-again":    runAgain,
	"crash-failed": crashFailed,
	"wide-job":     wideJob,
	"pending":      pending,
	"lapsed-entry": lapsedEntry,
	"moved-route":  movedRoute,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD REPOSITORY")
		return exitNoRun
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	d, err := newDeployment(rec, os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	defer d.close()
	trouble := os.Getenv("TROUBLE") != "0"
	out, err := scenarios[os.Args[1]](d, trouble)
	if err != nil {
		rec.event("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	verdict, code := "held", exitHeld
	if out.broken {
		verdict, code = "BROKEN", exitBroken
	}
	rec.event("%s: %s", verdict, out.text)
	fmt.Printf("%s: %s\n", verdict, out.text)
	return code
}
