// Package demonstrator runs a whole deployment in one process and counts, at
// the stand-ins for the platform, what became of the work.
package demonstrator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"persimmontrail/internal/coordinator"
	"persimmontrail/pkg/descriptor"
)

const (
	service = "measurement"
	// removedDomain is the failure domain that the demo takes out and back.
	removedDomain = "Sherbrooke"
	// startBound is how long after the acceptance of its removal a task may still start in a failure domain.
	startBound = 3 * time.Second
	// runLimit bounds the whole demo.
	runLimit = 55 * time.Second
	// removedTime is how long the failure domain stays out.
	removedTime = 6 * time.Second
	settleTime  = 20 * time.Second
)

// ErrViolation means that a count that must be 0 is not, or that work is missing.
var ErrViolation = errors.New("demo found a violation")

// Report holds the counts of the stand-ins.
type Report struct {
	// Accepted counts the jobs and requests that were taken, Completed those that ran to their end.
	Accepted, Completed int
	// Lost were accepted and did not complete.
	Lost int
	// RanTwice counts work that may run at most once and ran more often.
	RanTwice int
	// PartialGangs counts attempts that did work although not all of their members started.
	PartialGangs int
	// StartsInRemovedDomain counts starts later than 3 s after the removal was accepted.
	StartsInRemovedDomain int
	// FalseNotRun counts requests that ran although their caller was told NotRun.
	FalseNotRun int
	// Refused counts requests that were answered NotRun; they are not in Accepted.
	Refused int
	// CompletionSeconds is the median completion time by class.
	CompletionSeconds map[string]float64
	// Seconds is the duration of the demo.
	Seconds float64
}

// Check returns ErrViolation if the counts break a promise.
func (r *Report) Check() error {
	if r.RanTwice+r.PartialGangs+r.StartsInRemovedDomain+r.FalseNotRun != 0 || r.Lost != 0 || r.Accepted != r.Completed {
		return fmt.Errorf("%w: %+v", ErrViolation, *r)
	}
	return nil
}

// Demo runs the demonstration.
type Demo struct {
	Out io.Writer
	Log *log.Logger
}

// run is the state of one demonstration.
type run struct {
	*Deployment
	out  io.Writer
	http *http.Client

	mu       sync.Mutex
	requests []sentRequest
	jobs     []descriptor.JobKey
	elapsed  map[string][]float64
}

// sentRequest is a request with what its caller was told.
type sentRequest struct {
	request descriptor.Request
	class   string
	result  descriptor.Result
	whole   bool
}

// Run starts a deployment, gives it work, takes a failure domain out and back and reports the counts.
func (d *Demo) Run(ctx context.Context) (*Report, error) {
	ctx, cancel := context.WithTimeout(ctx, runLimit)
	defer cancel()
	began := time.Now()
	cfg := configuration()
	logger := d.Log
	if logger == nil {
		logger = log.New(io.Discard)
	}
	deployment, err := start(ctx, cfg, logger)
	if err != nil {
		return nil, err
	}
	defer deployment.Close()
	r := &run{Deployment: deployment, out: d.Out, http: &http.Client{}, elapsed: map[string][]float64{}}
	report, err := r.play(ctx, cfg)
	if err != nil {
		return nil, err
	}
	report.Seconds = time.Since(began).Seconds()
	r.print(report)
	return report, nil
}

func configuration() *descriptor.Configuration {
	return &descriptor.Configuration{
		Workspaces: []descriptor.Workspace{
			{Name: "atelier", Guarantees: []descriptor.Shape{{Accelerators: 16, Adjacency: descriptor.LevelRack}}},
			{Name: "couture", Guarantees: []descriptor.Shape{{Accelerators: 8, Adjacency: descriptor.LevelWorker}}},
			{Name: "retouche", Guarantees: []descriptor.Shape{{Accelerators: 2, Adjacency: descriptor.LevelWorker}}},
		},
		Classes: []descriptor.Class{
			{Name: "Preview", FinishWithin: descriptor.Duration(8 * time.Second), Share: 0.5, Service: service},
			{Name: "Nesting", FinishWithin: descriptor.Duration(20 * time.Second), Share: 0.5, Service: service, NonIdempotent: true},
			{Name: "Draft", FinishWithin: descriptor.Duration(time.Minute), Share: 1},
			{Name: "Overnight", FinishWithin: descriptor.Duration(10 * time.Hour), Share: 0.5},
		},
		FailureDomains: []descriptor.FailureDomain{
			{Name: "Montreal", Region: "qc-sud"},
			{Name: removedDomain, Region: "qc-sud"},
			{Name: "Saguenay", Region: "qc-nord"},
		},
		Fleet: []descriptor.RackSize{
			{FailureDomain: "Montreal", Racks: 1, Workers: workersPerDomain, Accelerators: acceleratorsPerWorker},
			{FailureDomain: removedDomain, Racks: 1, Workers: workersPerDomain, Accelerators: acceleratorsPerWorker},
			{FailureDomain: "Saguenay", Racks: 1, Workers: workersPerDomain, Accelerators: acceleratorsPerWorker},
		},
	}
}

func (r *run) play(ctx context.Context, cfg *descriptor.Configuration) (*Report, error) {
	r.say("starting 2 entries, 6 agents and the stand-ins for store, 6 workers and 6 endpoints")
	var change coordinator.ChangeAnswer
	if err := r.untilOK(ctx, http.MethodPut, "/v1/configuration", cfg, &change); err != nil {
		return nil, fmt.Errorf("apply configuration: %w", err)
	}
	r.say("configuration %s as revision %d", change.State, change.Revision)
	if err := r.awaitReady(ctx, len(r.machines)); err != nil {
		return nil, err
	}

	var work sync.WaitGroup
	work.Go(func() { r.sendRequests(ctx, "Preview", 150) })
	work.Go(func() { r.sendRequests(ctx, "Nesting", 40) })
	if err := r.submitJobs(ctx); err != nil {
		return nil, err
	}
	out, in, err := r.removeAndReturn(ctx)
	if err != nil {
		return nil, err
	}
	work.Wait()
	if err := r.awaitJobs(ctx); err != nil {
		r.say("not all jobs ended: %v", err)
	}
	return r.count(out, in), nil
}

// removeAndReturn takes a failure domain out and back and returns when each was accepted.
func (r *run) removeAndReturn(ctx context.Context) (out, in time.Time, err error) {
	if out, err = r.setDomain(ctx, true); err != nil {
		return out, in, err
	}
	select {
	case <-ctx.Done():
		return out, in, ctx.Err()
	case <-time.After(removedTime):
	}
	in = time.Now()
	_, err = r.setDomain(ctx, false)
	return out, in, err
}

func (r *run) setDomain(ctx context.Context, out bool) (time.Time, error) {
	var change coordinator.ChangeAnswer
	body := struct{ Out bool }{out}
	if err := r.untilOK(ctx, http.MethodPut, "/v1/failure-domains/"+removedDomain, body, &change); err != nil {
		return time.Time{}, fmt.Errorf("failure domain %s: %w", removedDomain, err)
	}
	r.say("failure domain %s: Out=%v, %s as revision %d", removedDomain, out, change.State, change.Revision)
	return time.Now(), nil
}

func (r *run) say(format string, args ...any) {
	fmt.Fprintf(r.out, format+"\n", args...)
}
