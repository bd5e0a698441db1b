package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"persimmontrail/internal/loader"
	"persimmontrail/pkg/validator"
)

func (p *Program) loadCommand() *ffcli.Command {
	f := newFlagSet("load")
	o := loader.Options{Progress: p.Stderr}
	agents := f.String("agents", "50", "numbers of agents, separated by commas")
	entries := f.String("entries", "1", "numbers of entries, separated by commas")
	tasks := f.String("tasks", "0", "numbers of running tasks per agent, separated by commas")
	workspaces := f.String("workspaces", "4", "numbers of workspaces, separated by commas")
	f.IntVar(&o.TasksPerLongJob, "gang", 1, "tasks of a job that runs for the whole trial")
	f.Float64Var(&o.UrgentRate, "urgent", 2, "urgent jobs a second during the measurement")
	f.Float64Var(&o.RequestRate, "requests", 5, "requests a second during the measurement")
	f.IntVar(&o.ConfigurationChanges, "changes", 3, "changes of the configuration during the measurement")
	f.DurationVar(&o.SettleDuration, "settle", 3*time.Second, "time between the last start and the measurement")
	f.DurationVar(&o.MeasureDuration, "measure", 10*time.Second, "duration of the measurement")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of the order of submissions")
	f.StringVar(&o.Program, "program", "", "persimmontrail binary of entries and agents, for comparing with another version; empty for this one")
	output := f.String("output", "table", "output: table or json")
	reportFile := f.String("report", "", "file for the report in JSON")
	return &ffcli.Command{
		Name:       "load",
		ShortUsage: "persimmontrail load [flags]",
		ShortHelp:  "Measure deployments of several sizes on loopback and print what each role takes.",
		LongHelp: `Runs each combination of agents, entries, tasks and workspaces, one after the other, with the stand-ins of the
platform. Entries and one agent have processes of their own; the other agents share processes. Example:
  persimmontrail load --agents 50,150,400 --tasks 0,2,4 --measure 10s --report load.json`,
		FlagSet:     f,
		Subcommands: []*ffcli.Command{p.loadAgentsCommand()},
		Exec: func(ctx context.Context, _ []string) error {
			var sizeErrors [4]error
			o.Agents, sizeErrors[0] = parseSizes("agents", *agents)
			o.Entries, sizeErrors[1] = parseSizes("entries", *entries)
			o.Tasks, sizeErrors[2] = parseSizes("tasks", *tasks)
			o.Workspaces, sizeErrors[3] = parseSizes("workspaces", *workspaces)
			var outputErr error
			if *output != "table" && *output != "json" {
				outputErr = validator.Errors{{Field: "output", Reason: fmt.Sprintf("is %q, want table or json", *output)}}
			}
			if err := joinFieldErrors(sizeErrors[0], sizeErrors[1], sizeErrors[2], sizeErrors[3], outputErr); err != nil {
				return err
			}
			r, err := loader.Measure(ctx, o)
			if err != nil {
				return err
			}
			if *reportFile != "" {
				if err := writeReport(*reportFile, r); err != nil {
					return err
				}
			}
			if *output == "table" {
				return r.Print(p.Stdout)
			}
			e := json.NewEncoder(p.Stdout)
			e.SetIndent("", "  ")
			return e.Encode(r)
		},
	}
}

// parseSizes parses integers separated by commas. field is the flag named in errors.
func parseSizes(field, text string) ([]int, error) {
	var sizes []int
	for _, part := range splitCommaList(text) {
		n, err := strconv.Atoi(part)
		if err != nil {
			return nil, validator.Errors{{Field: field, Reason: fmt.Sprintf("%q is no number", part)}}
		}
		sizes = append(sizes, n)
	}
	return sizes, nil
}

// loadAgentsCommand returns the command that load starts as a child process, one for each group of agents.
func (p *Program) loadAgentsCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "agents",
		ShortUsage: "persimmontrail load agents < group.json",
		ShortHelp:  "Run the agents of a trial that share a process; load starts it.",
		LongHelp: `Reads the group of agents as JSON from standard input. Example:
  persimmontrail load agents < group.json`,
		FlagSet: newFlagSet("agents"),
		Exec:    func(ctx context.Context, _ []string) error { return loader.RunAgentGroup(ctx, p.Stdin, p.Stdout) },
	}
}
