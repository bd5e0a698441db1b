// Package demonstrator runs a demo deployment in one process. It compares the answers of the system
// with the runs recorded by the stand-ins for the platform.
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
	// service is the service of all endpoints and of the classes of requests.
	service = "measurement"
	// removedDomain is the failure domain that the demo takes out and brings back.
	removedDomain = "Sherbrooke"
	// startLimit is the time after the accepted removal of a failure domain during which tasks may
	// still start there.
	startLimit = 3 * time.Second
	// demoTimeout bounds the whole demo.
	demoTimeout = 55 * time.Second
	// removalDuration is how long the failure domain stays out.
	removalDuration = 6 * time.Second
	// jobEndTimeout bounds the wait for the end of all jobs after the last request.
	jobEndTimeout = 20 * time.Second
)

// ErrViolation is returned if work was lost or a count that must be 0 is not.
var ErrViolation = errors.New("demo found a violation")

// Report holds the results of a demo.
type Report struct {
	// Accepted counts the accepted jobs and requests, and Completed those of them that finished with the
	// expected result.
	Accepted, Completed int
	// Lost counts accepted work that did not complete.
	Lost int
	// RanTwice counts repeated runs of non-idempotent work and overlapping runs of a task.
	RanTwice int
	// PartialGangs counts attempts that did work although not all of their members had started.
	PartialGangs int
	// StartsInRemovedDomain counts starts in the failure domain that was taken out, more than 3 s
	// after the removal was accepted and before the domain was brought back.
	StartsInRemovedDomain int
	// FalseNotRun counts requests that ran although the answer was NotRun.
	FalseNotRun int
	// Refused counts requests answered as NotRun, which are not in Accepted.
	Refused int
	// CompletionSeconds is the median completion time by class.
	CompletionSeconds map[string]float64
	// Seconds is the total duration.
	Seconds float64
}

// Check returns ErrViolation if the report shows lost work or a violation.
func (r *Report) Check() error {
	if r.RanTwice+r.PartialGangs+r.StartsInRemovedDomain+r.FalseNotRun != 0 || r.Lost != 0 || r.Accepted != r.Completed {
		return fmt.Errorf("%w: %+v", ErrViolation, *r)
	}
	return nil
}

// Demo runs the demo deployment.
type Demo struct {
	Out io.Writer
	Log *log.Logger
}

// demoRun is the state of a running demo.
type demoRun struct {
	*Deployment
	out  io.Writer
	http *http.Client

	mu              sync.Mutex
	requests        []sentRequest
	jobs            []descriptor.JobKey
	completionTimes map[string][]float64
}

// sentRequest is a request and its result.
type sentRequest struct {
	request descriptor.Request
	class   string
	result  descriptor.Result
	// bodyMatches reports that the answer had the expected body.
	bodyMatches bool
}

// Run starts a deployment, sends requests and jobs, takes a failure domain out, brings it back, and
// reports the results.
func (d *Demo) Run(ctx context.Context) (*Report, error) {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	began := time.Now()
	cfg := configuration()
	logger := d.Log
	if logger == nil {
		logger = log.New(io.Discard)
	}
	deployment, err := startDeployment(ctx, cfg, logger)
	if err != nil {
		return nil, err
	}
	defer deployment.Close()
	r := &demoRun{Deployment: deployment, out: d.Out, http: &http.Client{}, completionTimes: map[string][]float64{}}
	report, err := r.runScenario(ctx, cfg)
	if err != nil {
		return nil, err
	}
	report.Seconds = time.Since(began).Seconds()
	r.printSummary(report)
	return report, nil
}

// configuration returns three workspaces with guarantees and two regions with three failure domains.
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

// runScenario applies the configuration, sends requests and jobs, meanwhile takes a failure domain out and
// brings it back, and builds the report.
func (r *demoRun) runScenario(ctx context.Context, cfg *descriptor.Configuration) (*Report, error) {
	r.printf("starting 2 entries, 6 agents and the stand-ins for store, 6 workers and 6 endpoints")
	var change coordinator.ChangeAnswer
	if err := r.callUntilSuccess(ctx, http.MethodPut, "/v1/configuration", cfg, &change); err != nil {
		return nil, fmt.Errorf("apply configuration: %w", err)
	}
	r.printf("configuration %s as revision %d", change.State, change.Revision)
	if err := r.awaitReady(ctx, len(r.machines)); err != nil {
		return nil, err
	}

	var work sync.WaitGroup
	work.Go(func() { r.sendRequests(ctx, "Preview", 150) })
	work.Go(func() { r.sendRequests(ctx, "Nesting", 40) })
	if err := r.submitJobs(ctx); err != nil {
		return nil, err
	}
	removedAt, returnedAt, err := r.removeAndRestoreDomain(ctx)
	if err != nil {
		return nil, err
	}
	work.Wait()
	if err := r.awaitJobs(ctx); err != nil {
		r.printf("not all jobs ended: %v", err)
	}
	return r.buildReport(removedAt, returnedAt), nil
}

// removeAndRestoreDomain takes the failure domain out and brings it back after removalDuration.
// removedAt is a time just after the removal was accepted, and returnedAt one just before the domain's return
// was requested.
func (r *demoRun) removeAndRestoreDomain(ctx context.Context) (removedAt, returnedAt time.Time, err error) {
	if removedAt, err = r.setDomainOut(ctx, true); err != nil {
		return removedAt, returnedAt, err
	}
	select {
	case <-ctx.Done():
		return removedAt, returnedAt, ctx.Err()
	case <-time.After(removalDuration):
	}
	returnedAt = time.Now()
	_, err = r.setDomainOut(ctx, false)
	return removedAt, returnedAt, err
}

// setDomainOut takes the failure domain out or brings it back, and returns the time after the change
// was accepted.
func (r *demoRun) setDomainOut(ctx context.Context, out bool) (time.Time, error) {
	var change coordinator.ChangeAnswer
	body := struct{ Out bool }{out}
	if err := r.callUntilSuccess(ctx, http.MethodPut, "/v1/failure-domains/"+removedDomain, body, &change); err != nil {
		return time.Time{}, fmt.Errorf("failure domain %s: %w", removedDomain, err)
	}
	r.printf("failure domain %s: Out=%v, %s as revision %d", removedDomain, out, change.State, change.Revision)
	return time.Now(), nil
}

// printf prints a formatted line.
func (r *demoRun) printf(format string, args ...any) {
	fmt.Fprintf(r.out, format+"\n", args...)
}
