package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// processSignals are the signals that tell this process something. It takes them from its
// start to its end: the default effect of each is to end the process at once, with the
// requests that it has in hand.
type processSignals struct {
	// stopping ends with the first SIGTERM or SIGINT. Later ones have no effect.
	stopping context.Context
	// reload receives when the settings are to be read again.
	reload <-chan os.Signal
}

// takeSignals takes the signals until the process ends.
func takeSignals() processSignals {
	// A write to a closed log or connection fails instead.
	signal.Ignore(syscall.SIGPIPE)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	stopping, cancel := context.WithCancel(context.Background())
	go func() {
		<-stop
		cancel()
	}()
	return processSignals{stopping: stopping, reload: reload}
}
