// Package loader measures the resource usage and the response times of a deployment on the loopback interface.
//
// Entries (see package coordinator) and agents run in separate processes. The entry that currently schedules the jobs is the
// scheduler. One agent has a process of its own; the others are grouped in shared processes, so that one host can run many of
// them. The store, the workers and the endpoints, which answer requests, are stand-ins that run in the process of this package.
//
// Long jobs are started before the measurement and run until its end. During the measurement, short urgent jobs, requests and
// configuration changes are added at constant rates. Each change gives the configuration a higher revision. Propagation is the
// time until the agents hold a changed configuration. A workspace is a customer, and its guarantees are the accelerators that it
// may claim at any time.
package loader

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"persimmontrail/pkg/validator"
)

// These limits keep a run from overloading a shared host.
const (
	maxAgents        = 600
	maxEntries       = 5
	maxTasksPerAgent = 8
	// maxDuration limits the sum of SettleDuration and MeasureDuration.
	maxDuration = 10 * time.Minute
	// maxRatePerSecond limits each of UrgentRate and RequestRate.
	maxRatePerSecond = 200.0
	// maxGroupSize is the largest number of agents that share a process.
	maxGroupSize = 200
)

// Options configure a series of runs, one for each combination of Agents, Entries, Tasks and Workspaces.
type Options struct {
	// Agents, Entries and Workspaces list the numbers of agents, entries and workspaces with which to run.
	Agents, Entries, Workspaces []int
	// Tasks lists the numbers of running tasks per agent with which to run.
	Tasks []int
	// TasksPerLongJob is the number of tasks of each long job. Long jobs run until the end of the run.
	TasksPerLongJob int
	// UrgentRate is the number of urgent jobs submitted per second during the measurement.
	UrgentRate,
	// RequestRate is the number of requests sent per second during the measurement.
	RequestRate float64
	// ConfigurationChanges is the number of configuration changes during the measurement.
	ConfigurationChanges int
	// SettleDuration is the time between the start of the last long job and the measurement.
	SettleDuration,
	// MeasureDuration is the time for which the load is generated and counted, at least 1 s. Together with SettleDuration, it is
	// at most 10 min.
	MeasureDuration time.Duration
	// Seed determines the order in which long jobs are submitted.
	Seed uint64
	// Program is the persimmontrail binary that entries and agents run; empty means the running executable.
	Program string
	// Progress receives one line for each step; nil discards them.
	Progress io.Writer
}

// Validate returns all invalid options in one error, or nil if there are none. The error names them as the flags of the load
// command.
func (o *Options) Validate() error {
	var fieldErrors validator.Errors
	checkRange := func(field string, values []int, low, high int) {
		if len(values) == 0 {
			fieldErrors = append(fieldErrors, validator.FieldError{Field: field, Reason: "must name at least one size"})
		}
		for _, v := range values {
			if v < low || v > high {
				fieldErrors = append(fieldErrors, validator.FieldError{Field: field, Reason: fmt.Sprintf("is %d, want %d to %d", v, low, high)})
			}
		}
	}
	checkRange("agents", o.Agents, 2, maxAgents)
	checkRange("entries", o.Entries, 1, maxEntries)
	checkRange("tasks", o.Tasks, 0, maxTasksPerAgent)
	checkRange("workspaces", o.Workspaces, 1, validator.MaxWorkspaces)
	checkRange("gang", []int{o.TasksPerLongJob}, 1, 256)
	checkRange("changes", []int{o.ConfigurationChanges}, 0, 1000)
	for field, rate := range map[string]float64{"urgent": o.UrgentRate, "requests": o.RequestRate} {
		if rate < 0 || rate > maxRatePerSecond {
			fieldErrors = append(fieldErrors, validator.FieldError{Field: field, Reason: fmt.Sprintf("is %g, want 0 to %g a second", rate, maxRatePerSecond)})
		}
	}
	if o.MeasureDuration < time.Second || o.SettleDuration < 0 || o.MeasureDuration+o.SettleDuration > maxDuration {
		fieldErrors = append(fieldErrors, validator.FieldError{Field: "measure", Reason: fmt.Sprintf("must be at least 1s and, with settle, at most %v", maxDuration)})
	}
	if len(fieldErrors) == 0 {
		return nil
	}
	return fieldErrors
}

// Size is the size of the deployment in one run.
type Size struct {
	Agents, Entries, TasksPerAgent, Workspaces int
}

// Report is the result of a series of runs.
type Report struct {
	Seed   uint64
	Began  time.Time
	Runs   []Run
	Slopes []Slope `json:",omitempty"`
	// NotCounted states which bytes the counters omit.
	NotCounted string
}

// notCounted is the value of Report.NotCounted.
const notCounted = "bytes are the payload and framing of messages, sent plus received; headers of QUIC, UDP and IP, acknowledgements, " +
	"handshakes and HTTP with workers, endpoints, store and callers are not counted"

// Measure performs all runs one after the other. It validates the options first. If a run fails, it returns the error and no
// report of the earlier runs.
func Measure(ctx context.Context, o Options) (*Report, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	if o.Program == "" {
		program, err := os.Executable()
		if err != nil {
			return nil, err
		}
		o.Program = program
	}
	r := &Report{Seed: o.Seed, Began: time.Now(), NotCounted: notCounted}
	for _, size := range o.sizes() {
		run, err := o.measureSize(ctx, size)
		if err != nil {
			return nil, fmt.Errorf("run with %+v: %w", size, err)
		}
		r.Runs = append(r.Runs, *run)
	}
	r.Slopes = Slopes(r.Runs)
	return r, nil
}

// sizes returns the sizes of all runs in their order. Tasks vary fastest, then agents, entries and workspaces.
func (o *Options) sizes() []Size {
	var sizes []Size
	for _, w := range o.Workspaces {
		for _, e := range o.Entries {
			for _, a := range o.Agents {
				for _, t := range o.Tasks {
					sizes = append(sizes, Size{Agents: a, Entries: e, TasksPerAgent: t, Workspaces: w})
				}
			}
		}
	}
	return sizes
}
