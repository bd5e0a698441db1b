// Package commander implements the command line of persimmontrail.
//
// An entry is the process that takes calls over HTTP and routes requests. One entry of each region is its scheduler,
// which decides when and where the region's jobs start. A term is the time for which an entry is the scheduler;
// unless the store fails, a lease in the store limits it. An agent is the process beside a worker, which runs the
// tasks of jobs, and an endpoint, which serves requests; one of the two may be missing. The platform provides the
// workers, the endpoints and the store; stand-ins replace them in trials. A workspace is a customer. Its guarantee is
// the capacity that it may claim at any time, as a list of shapes: a number of accelerators within one worker, rack
// or failure domain. A class sets how fast work must finish.
//
// The tasks of a job form a gang: they start together or not at all. An attempt is a numbered start of a job. A start
// permit allows an agent to start work for a limited time. An epoch identifies a term and grows with each term of the
// region. The configuration has a revision, which grows with each change. Work ends with a result: Done, Failed,
// NotRun (it has not run and will not run) or Unknown. A trace is a recorded or generated day of jobs and faults. It
// also states outcomes, which its replay must meet: a limit for a measured value, such as the number of partial
// gangs.
package commander

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/muesli/termenv"
	"github.com/peterbourgon/ff/v3/ffcli"

	"persimmontrail/pkg/validator"
)

const (
	// ExitOK is the exit code of a command that succeeded or printed its help.
	ExitOK = 0
	// ExitFailed means that a valid command failed or was stopped by a second signal.
	ExitFailed = 1
	// ExitUsage means that the command line, a setting or a file is invalid, or that the entry refused the input as
	// invalid. Nothing was changed.
	ExitUsage = 2
)

// envPrefix is the prefix of the environment variables for flags. An underscore follows it.
const envPrefix = "PERSIMMONTRAIL"

// errUsage is wrapped by the errors about subcommands and arguments, for which Run returns ExitUsage. Parse errors of
// flags do not wrap it.
var errUsage = errors.New("invalid command line")

// Program is one invocation of the command line.
type Program struct {
	Stdin          io.Reader
	Stdout, Stderr io.Writer
	// Getenv looks up NO_COLOR; if Getenv is nil, NO_COLOR counts as not set. Package ff reads the variables for
	// flags directly from the environment of the process.
	Getenv func(string) string

	// helpText holds the help of the command whose parsing stopped at --help or an error.
	helpText bytes.Buffer
	// helpCommand is the path of that command, such as "persimmontrail job submit".
	helpCommand string
}

// Main runs the command line of the process and returns its exit code.
func Main(args []string) int {
	p := &Program{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr, Getenv: os.Getenv}
	ctx, stop := signalContext()
	defer stop()
	return p.Run(ctx, args)
}

// signalContext returns a context that the first SIGTERM or SIGINT cancels. A second signal exits the
// process immediately.
func signalContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cancel()
		<-signals
		os.Exit(ExitFailed)
	}()
	return ctx, cancel
}

// Run parses args, which do not include the program name, runs the selected command and returns its exit code. It
// prints an error to Stderr.
func (p *Program) Run(ctx context.Context, args []string) int {
	root := p.rootCommand()
	if err := root.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			_, _ = p.helpText.WriteTo(p.Stdout)
			return ExitOK
		}
		fmt.Fprintln(p.Stderr, "error:", indentContinuationLines(p.describeParseError(err)))
		return ExitUsage
	}
	err := root.Run(ctx)
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return ExitOK
	case errors.Is(err, validator.ErrInvalid), errors.Is(err, errUsage):
		fmt.Fprintln(p.Stderr, "error:", indentContinuationLines(err.Error()))
		return ExitUsage
	default:
		fmt.Fprintln(p.Stderr, "error:", indentContinuationLines(err.Error()))
		return ExitFailed
	}
}

// indentContinuationLines aligns continuation lines with the text after "error: ".
func indentContinuationLines(text string) string { return strings.ReplaceAll(text, "\n", "\n       ") }

// rootCommand returns a new tree of all commands, with their environment variables and help, see configure.
func (p *Program) rootCommand() *ffcli.Command {
	root := &ffcli.Command{
		ShortUsage: "persimmontrail COMMAND [flags]",
		ShortHelp:  "Schedule multi-accelerator jobs and service requests under workspace guarantees.",
		LongHelp: `Every flag can be set by an environment variable: --http-listen is PERSIMMONTRAIL_HTTP_LISTEN.
Flags stand before arguments. Example:
  persimmontrail domain out --entry http://10.0.0.7:7401 Sherbrooke

Exit codes: 0 done, 1 the command failed, 2 the command line, a setting or a file is invalid and nothing was changed.`,
		FlagSet: flag.NewFlagSet("persimmontrail", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{
			p.entryCommand(),
			p.agentCommand(),
			p.validateCommand(),
			p.applyCommand(),
			p.jobCommand(),
			p.requestCommand(),
			p.domainCommand(),
			p.statusCommand(),
			p.auditCommand(),
			p.demoCommand(),
			p.loadCommand(),
			p.replayCommand(),
			p.traceCommand(),
			p.keysCommand(),
			p.versionCommand(),
		},
	}
	root.Exec = requireSubcommand(root)
	p.configure(root, "persimmontrail")
	return root
}

func newFlagSet(name string) *flag.FlagSet { return flag.NewFlagSet(name, flag.ContinueOnError) }

// isFlagSet reports whether a flag was set on the command line or by its environment variable.
func isFlagSet(f *flag.FlagSet, name string) bool {
	set := false
	f.Visit(func(g *flag.Flag) { set = set || g.Name == name })
	return set
}

// logFlags are the flags of the commands that log: entry, agent and demo.
type logFlags struct {
	format, level string
}

func (l *logFlags) register(f *flag.FlagSet) {
	f.StringVar(&l.format, "log-format", "text", "log format: json, logfmt or text")
	f.StringVar(&l.level, "log-level", "info", "log level: debug, info, warn or error")
}

// logger returns a logger that writes to standard error with the given prefix. It reports all invalid flags
// together.
func (p *Program) logger(l logFlags, prefix string) (*log.Logger, error) {
	formats := map[string]log.Formatter{"json": log.JSONFormatter, "logfmt": log.LogfmtFormatter, "text": log.TextFormatter}
	var fieldErrors validator.Errors
	format, ok := formats[l.format]
	if !ok {
		fieldErrors = append(fieldErrors, validator.FieldError{Field: "log-format", Reason: fmt.Sprintf("is %q, want json, logfmt or text", l.format)})
	}
	level, err := log.ParseLevel(l.level)
	if err != nil {
		fieldErrors = append(fieldErrors, validator.FieldError{Field: "log-level", Reason: fmt.Sprintf("is %q, want debug, info, warn or error", l.level)})
	}
	if len(fieldErrors) > 0 {
		return nil, fieldErrors
	}
	logger := log.NewWithOptions(p.Stderr, log.Options{
		Prefix:          prefix,
		Level:           level,
		Formatter:       format,
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
	})
	if p.Getenv != nil && p.Getenv("NO_COLOR") != "" {
		logger.SetColorProfile(termenv.Ascii)
	}
	return logger, nil
}

// Version is the version that the command version prints.
const Version = "0.1.0"

func (p *Program) versionCommand() *ffcli.Command {
	f := newFlagSet("version")
	var output outputFlag
	output.register(f)
	return &ffcli.Command{
		Name:       "version",
		ShortUsage: "persimmontrail version [flags]",
		ShortHelp:  "Print the version.",
		LongHelp:   "Example:\n  persimmontrail version --output json",
		FlagSet:    f,
		Exec: func(context.Context, []string) error {
			printer, err := p.printer(output)
			if err != nil {
				return err
			}
			v := struct{ Version, Go string }{Version, "unknown"}
			if info, ok := debug.ReadBuildInfo(); ok {
				v.Go = info.GoVersion
			}
			return printer.print(v, func(w io.Writer) { fmt.Fprintf(w, "persimmontrail %s (%s)\n", v.Version, v.Go) })
		},
	}
}
