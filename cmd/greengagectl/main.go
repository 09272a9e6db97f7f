// Command greengagectl is the operators' command line.
package main

import (
	"context"
	"os"

	"greengagedeck/internal/ctl"
	"greengagedeck/internal/release"
)

func main() {
	opt := ctl.Options{In: os.Stdin, Out: os.Stdout, ErrOut: os.Stderr, Release: release.String()}
	os.Exit(ctl.Run(context.Background(), os.Args[1:], opt))
}
