package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// Exit codes of the command line. docs/OPERATIONS.md lists them.
const (
	ExitOK          = 0
	ExitFailure     = 1
	ExitUsage       = 2
	ExitConflict    = 3
	ExitUnavailable = 4
	ExitNotFound    = 5
)

// EnvPrefix is the prefix of the environment variables that set flags.
const EnvPrefix = "GREENGAGECTL"

// app holds the flags and the input and output of one invocation.
type app struct {
	out, errOut io.Writer
	in          io.Reader

	servers string
	token   string
	output  string
}

// Options configure the input and output of the command line.
type Options struct {
	In          io.Reader
	Out, ErrOut io.Writer
	// Release is printed by the version command.
	Release string
}

// Run executes the command line and returns its exit code.
func Run(ctx context.Context, args []string, opt Options) int {
	a := &app{out: opt.Out, errOut: opt.ErrOut, in: opt.In}
	root := a.root(opt.Release)
	if err := root.Parse(args); err != nil {
		if eris.Is(err, flag.ErrHelp) {
			return ExitOK
		}
		fmt.Fprintln(opt.ErrOut, err)
		return ExitUsage
	}
	return a.exitCode(root.Run(ctx))
}

func (a *app) exitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	if eris.Is(err, flag.ErrHelp) {
		return ExitUsage
	}
	fmt.Fprintln(a.errOut, "error:", err)
	var usage *usageError
	if eris.As(err, &usage) {
		return ExitUsage
	}
	var se *StatusError
	if !eris.As(err, &se) {
		return ExitFailure
	}
	switch se.Status {
	case fasthttp.StatusConflict:
		return ExitConflict
	case fasthttp.StatusServiceUnavailable:
		return ExitUnavailable
	case fasthttp.StatusNotFound:
		return ExitNotFound
	default:
		return ExitFailure
	}
}

// usageError reports an invalid command line.
type usageError struct{ reason string }

// Error implements error.
func (e *usageError) Error() string { return e.reason }

func usagef(format string, args ...any) error {
	return &usageError{fmt.Sprintf(format, args...)}
}

// flags returns a flag set with the flags that every command takes.
func (a *app) flags(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(a.errOut)
	fs.StringVar(&a.servers, "server", "http://127.0.0.1:8081", "administration URLs of daemons, separated by commas; tried in order")
	fs.StringVar(&a.token, "token", "", "token of the administration API")
	fs.StringVar(&a.output, "o", "table", "output: table, json, and for some commands yaml or html")
	return fs
}

func (a *app) client() *client {
	return &client{servers: strings.Split(a.servers, ","), token: a.token}
}

// command describes one leaf of the command tree.
type command struct {
	name, usage, help string
	flags             func(*flag.FlagSet)
	exec              func(ctx context.Context, args []string) error
}

func (a *app) leaf(parent string, c command) *ffcli.Command {
	fs := a.flags(strings.TrimSpace(parent + " " + c.name))
	if c.flags != nil {
		c.flags(fs)
	}
	return &ffcli.Command{
		Name:       c.name,
		ShortUsage: strings.TrimSpace("greengagectl "+parent) + " " + c.usage,
		ShortHelp:  c.help,
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix(EnvPrefix)},
		Exec:       c.exec,
	}
}

func (a *app) group(name, help string, subs ...*ffcli.Command) *ffcli.Command {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(a.errOut)
	return &ffcli.Command{
		Name:        name,
		ShortUsage:  "greengagectl " + name + " COMMAND",
		ShortHelp:   help,
		FlagSet:     fs,
		Subcommands: subs,
		Exec:        noCommand,
	}
}

// noCommand runs when a group is called without a known command.
func noCommand(_ context.Context, args []string) error {
	if len(args) > 0 {
		return usagef("unknown command %q; see --help", args[0])
	}
	return flag.ErrHelp
}

func (a *app) root(release string) *ffcli.Command {
	fs := flag.NewFlagSet("greengagectl", flag.ContinueOnError)
	fs.SetOutput(a.errOut)
	version := fs.Bool("version", false, "print the release and exit")
	return &ffcli.Command{
		Name:       "greengagectl",
		ShortUsage: "greengagectl COMMAND [flags]",
		FlagSet:    fs,
		Subcommands: []*ffcli.Command{
			a.catalogueCommands(),
			a.leaf("", command{name: "status", usage: "status [flags]", help: "show the daemons and the version in force on each", exec: a.status}),
			a.leaf("", command{name: "hosts", usage: "hosts [flags]", help: "show every host, its pool and phase", exec: a.hosts}),
			a.leaf("", command{name: "explain", usage: "explain [flags] KIND NAME", help: "show why: KIND is host, pool, entry, wave, team, daemon or request, and in a fleet customer or job", exec: a.explain}),
			a.customersCommand(),
			a.leaf("", command{name: "trace", usage: "trace ID FILE...", help: "show what the logs of several daemons say of a job, task, worker or duty, in order", exec: a.trace}),
			a.reportCommands(),
		},
		Exec: func(ctx context.Context, args []string) error {
			if *version {
				fmt.Fprintln(a.out, release)
				return nil
			}
			return noCommand(ctx, args)
		},
	}
}
