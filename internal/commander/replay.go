package commander

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"persimmontrail/internal/replayer"
	"persimmontrail/internal/scheduler"
	"persimmontrail/pkg/validator"
)

// progressInterval is the time between progress messages of a replay.
const progressInterval = 2 * time.Second

// errMissed is wrapped by the error of a replay that missed outcomes stated in the trace or failed other checks.
var errMissed = errors.New("missed")

// replayFlags are the flags of the command replay. If reportFile or plotFile is empty, the file is not written.
type replayFlags struct {
	traceFile, policy, reportFile, plotFile string
	// speed is the factor by which submissions to the entry are faster than the arrivals of jobs in the trace. If it is
	// 0, nothing is submitted and the trace is replayed on a virtual clock.
	speed float64
	// drain bounds the wait for the end of the jobs after the last submission to the entry.
	drain  time.Duration
	client clientFlags
}

func (r *replayFlags) register(f *flag.FlagSet) {
	f.StringVar(&r.traceFile, "trace", "", "file with the trace")
	f.StringVar(&r.policy, "policy", "both", "policy: guaranteed, baseline or both; only both checks the outcomes")
	f.StringVar(&r.reportFile, "report", "", "file for the report in JSON")
	f.StringVar(&r.plotFile, "plot", "", "file for the plots, ending in .png or .svg; needs policy both")
	f.Float64Var(&r.speed, "speed", 0, "submit to the entry, so many times faster than the trace; 0 replays on a virtual clock")
	f.DurationVar(&r.drain, "drain", 2*time.Minute, "with speed: how long to wait for ends after the last submission")
	r.client.register(f)
	// Unlike other commands, replay has no default entry, so that it submits jobs only to an entry that was set.
	f.Lookup("entry").DefValue = ""
	r.client.entry = ""
}

func (r *replayFlags) validate() error {
	var fieldErrors validator.Errors
	addError := func(field, format string, args ...any) {
		fieldErrors = append(fieldErrors, validator.FieldError{Field: field, Reason: fmt.Sprintf(format, args...)})
	}
	if r.traceFile == "" {
		addError("trace", "must name a file; trace generate makes one")
	}
	if r.policy != "guaranteed" && r.policy != "baseline" && r.policy != "both" {
		addError("policy", "is %q, want guaranteed, baseline or both", r.policy)
	}
	if extension := filepath.Ext(r.plotFile); r.plotFile != "" && extension != ".png" && extension != ".svg" {
		addError("plot", "is %q, want a name that ends in .png or .svg", r.plotFile)
	}
	if r.plotFile != "" && (r.policy != "both" || r.speed != 0) {
		addError("plot", "needs policy both and no speed")
	}
	if r.speed < 0 {
		addError("speed", "is %g, want 0 or more", r.speed)
	}
	if r.speed > 0 && r.client.entry == "" {
		addError("entry", "must be set with speed")
	}
	if r.drain <= 0 {
		addError("drain", "is %v, want more than 0s", r.drain)
	}
	if len(fieldErrors) == 0 {
		return nil
	}
	return fieldErrors
}

func (p *Program) replayCommand() *ffcli.Command {
	f := newFlagSet("replay")
	var r replayFlags
	r.register(f)
	return &ffcli.Command{
		Name:       "replay",
		ShortUsage: "persimmontrail replay [flags]",
		ShortHelp:  "Replay a trace and check the outcomes that it states.",
		LongHelp: `Without --speed, the trace is replayed on a virtual clock against the scheduler's decisions, with its
fleet and its faults. Every missed outcome is named and the exit code is 1.

With --entry and --speed, the jobs and cancellations of the trace are submitted to a running deployment,
faster by --speed, with ids of their own; run times are divided by --speed too. --entry alone, which
PERSIMMONTRAIL_ENTRY may set for other commands, submits nothing. Only what can be seen from outside is
checked: each job is accepted, or refused as not run; each accepted job ends within --drain after the last
submission; a job ends as Done unless it was cancelled or fails wherever it starts; and, at speed 1 only,
the p99 completion time of the class that the trace names. Faults, configuration changes and the fleet of
the trace are not applied, and guarantees, utilisation and partial gangs are not visible from outside.

Example:
  persimmontrail replay --trace day.jsonl --report day.json --plot day.svg
  persimmontrail replay --trace day.jsonl --entry http://10.0.0.7:7401 --speed 120`,
		FlagSet: f,
		Exec: func(ctx context.Context, _ []string) error {
			client, clientErr := p.client(r.client)
			if err := joinFieldErrors(r.validate(), clientErr); err != nil {
				return err
			}
			trace, err := readTrace(r.traceFile)
			if err != nil {
				return err
			}
			if r.speed > 0 {
				return p.replayLive(ctx, client, trace, r)
			}
			return p.replaySimulated(ctx, client, trace, r)
		},
	}
}

// readTrace reads a trace file. Its errors name the flag trace.
func readTrace(file string) (replayer.Trace, error) {
	f, err := os.Open(file)
	if err != nil {
		return replayer.Trace{}, validator.Errors{{Field: "trace", Reason: err.Error()}}
	}
	defer f.Close()
	t, err := replayer.Read(f)
	if err != nil {
		return t, validator.Errors{{Field: "trace", Reason: file + ": " + err.Error()}}
	}
	return t, nil
}

// replaySummary is the report of a replay on a virtual clock. The report of a policy that was not replayed is nil.
type replaySummary struct {
	Trace                string
	Guaranteed, Baseline *replayer.Report `json:",omitempty"`
	Outcomes             []replayer.OutcomeResult
}

// replaySimulated replays the trace on a virtual clock with the selected policies and checks the outcomes. It
// uses client only to print the report.
func (p *Program) replaySimulated(ctx context.Context, client *entryClient, t replayer.Trace, r replayFlags) error {
	c := replayer.Comparison{Trace: t}
	var err error
	if r.policy != "baseline" {
		if c.Guaranteed, err = p.replayPolicy(ctx, t, scheduler.PolicyGuaranteed, "guaranteed"); err != nil {
			return err
		}
	}
	if r.policy != "guaranteed" {
		if c.Baseline, err = p.replayPolicy(ctx, t, scheduler.PolicyBaseline, "baseline"); err != nil {
			return err
		}
	}
	summary := replaySummary{Trace: t.Header.Name, Guaranteed: c.Guaranteed, Baseline: c.Baseline, Outcomes: c.Outcomes()}
	if err := client.print(summary, func(w io.Writer) { fmt.Fprint(w, c.Table()) }); err != nil {
		return err
	}
	if r.reportFile != "" {
		if err := writeReport(r.reportFile, summary); err != nil {
			return err
		}
	}
	if r.plotFile != "" {
		if err := c.PlotFile(r.plotFile); err != nil {
			return err
		}
	}
	return checkOutcomesMet(summary.Outcomes)
}

// replayPolicy replays the trace with one policy. It runs the replay in the background and prints progress,
// because a large fleet takes minutes. If ctx ends, it returns although the replay goes on.
func (p *Program) replayPolicy(ctx context.Context, t replayer.Trace, policy scheduler.Policy, name string) (*replayer.Report, error) {
	type replayResult struct {
		report *replayer.Report
		err    error
	}
	results := make(chan replayResult, 1)
	startedAt := time.Now()
	fmt.Fprintf(p.Stderr, "replaying %d events with the %s policy\n", len(t.Events), name)
	go func() {
		report, err := replayer.Replay(t, policy)
		results <- replayResult{report, err}
	}()
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case r := <-results:
			return r.report, r.err
		case <-ticker.C:
			fmt.Fprintf(p.Stderr, "still replaying with the %s policy after %v\n", name, time.Since(startedAt).Round(time.Second))
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// checkOutcomesMet returns an error that names the missed outcomes, or nil if none of those checked was missed.
func checkOutcomesMet(results []replayer.OutcomeResult) error {
	var missed []string
	for _, o := range results {
		if !o.Met && !o.Unchecked {
			missed = append(missed, fmt.Sprintf("outcome %s: %s", o.Outcome.Name, o.Detail))
		}
	}
	if len(missed) == 0 {
		return nil
	}
	return fmt.Errorf("%w %d of %d outcomes\n%s", errMissed, len(missed), len(results), strings.Join(missed, "\n"))
}

func (p *Program) traceCommand() *ffcli.Command {
	c := &ffcli.Command{
		Name:        "trace",
		ShortUsage:  "persimmontrail trace generate [flags]",
		ShortHelp:   "Make traces for replay.",
		LongHelp:    "Example:\n  persimmontrail trace generate --day bad --seed 7 --out day.jsonl",
		FlagSet:     newFlagSet("trace"),
		Subcommands: []*ffcli.Command{p.generateTraceCommand()},
	}
	c.Exec = requireSubcommand(c)
	return c
}

// deploymentNames maps the values of the flag deployment, in lower case, to the deployments of the trace
// generator.
var deploymentNames = map[string]string{
	"beaulieu": replayer.Beaulieu,
	"destovka": replayer.Destovka,
	"dešťovka": replayer.Destovka,
}

func (p *Program) generateTraceCommand() *ffcli.Command {
	f := newFlagSet("generate")
	deployment := f.String("deployment", "beaulieu", "deployment: beaulieu or destovka")
	day := f.String("day", "ordinary", "day: ordinary, or bad with bursts, wrong declarations and faults")
	seed := f.Uint64("seed", 1, "seed; equal seeds give equal traces")
	traceFile := f.String("out", "", "file for the trace; empty for standard output")
	return &ffcli.Command{
		Name:       "generate",
		ShortUsage: "persimmontrail trace generate [flags]",
		ShortHelp:  "Generate a day of one deployment.",
		LongHelp: `The trace is a text file of JSON Lines; docs/traces.md describes it. Example:
  persimmontrail trace generate --deployment destovka --day bad --seed 4 --out day.jsonl`,
		FlagSet: f,
		Exec: func(context.Context, []string) error {
			var fieldErrors validator.Errors
			if *day != "ordinary" && *day != "bad" {
				fieldErrors = append(fieldErrors, validator.FieldError{Field: "day", Reason: fmt.Sprintf("is %q, want ordinary or bad", *day)})
			}
			name, known := deploymentNames[strings.ToLower(*deployment)]
			if !known {
				fieldErrors = append(fieldErrors, validator.FieldError{Field: "deployment", Reason: fmt.Sprintf("is %q, want beaulieu or destovka", *deployment)})
			}
			if len(fieldErrors) > 0 {
				return fieldErrors
			}
			t := replayer.Generate(replayer.GenerateOptions{Deployment: name, BadDay: *day == "bad", Seed: *seed})
			return p.writeTrace(*traceFile, t)
		},
	}
}

// writeTrace writes a trace to the file, or to standard output if file is empty. It reports the number of events
// written to a file on standard error.
func (p *Program) writeTrace(file string, t replayer.Trace) error {
	if file == "" {
		return replayer.Write(p.Stdout, t)
	}
	f, err := os.Create(file)
	if err != nil {
		return validator.Errors{{Field: "out", Reason: err.Error()}}
	}
	if err := replayer.Write(f, t); err != nil {
		f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	_, err = fmt.Fprintf(p.Stderr, "wrote %d events to %s\n", len(t.Events), file)
	return err
}
