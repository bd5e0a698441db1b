package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"persimmontrail/internal/keeper"
	"persimmontrail/internal/messenger"
	"persimmontrail/internal/recorder"
	"persimmontrail/internal/scheduler"
	"persimmontrail/pkg/descriptor"
	"persimmontrail/pkg/validator"
)

// storeAccessTimeout bounds the store accesses for one lookup or change of a job, or one change of the configuration.
const storeAccessTimeout = 3 * time.Second

// JobStatus is the part of a job record that callers see.
type JobStatus struct {
	Job      descriptor.Job
	Accepted time.Time
	State    keeper.JobState
	Attempt  descriptor.Attempt `json:",omitempty"`
	Result   descriptor.Result  `json:",omitempty"`
	Reason   string             `json:",omitempty"`
	EndedAt  *time.Time         `json:",omitempty"`
}

func jobStatusOf(r keeper.JobRecord) JobStatus {
	jobStatus := JobStatus{Job: r.Job, Accepted: r.Accepted, State: r.State, Attempt: r.Attempt, Result: r.Result, Reason: r.Reason}
	if !r.EndedAt.IsZero() {
		jobStatus.EndedAt = &r.EndedAt
	}
	return jobStatus
}

// postJob accepts a job: it validates the job, records it in the store, and then announces it to the entries of its
// region.
func (e *Entry) postJob(ctx context.Context, c caller, r *http.Request) (any, error) {
	var job descriptor.Job
	if err := decodeBody(r, &job); err != nil {
		return nil, err
	}
	cfg, err := e.requireConfiguration()
	if err != nil {
		return nil, err
	}
	if job.Workspace == "" {
		job.Workspace = c.workspace
	}
	if !c.mayUse(job.Workspace) {
		return nil, notRunErrorf(http.StatusForbidden, "Workspace: the token is not one of workspace %q", job.Workspace)
	}
	if job.Region == "" {
		job.Region = e.regionFor(cfg, job.Workspace)
	}
	if class := validator.FindClass(cfg, job.Class); class != nil && class.NonIdempotent {
		job.NonIdempotent = true
	}
	if err := validator.CheckJob(&job, cfg); err != nil {
		return nil, err
	}
	if e.shuttingDown.Load() {
		return nil, notRunErrorf(http.StatusServiceUnavailable, "this entry is leaving")
	}
	if err := e.checkFits(&job, cfg); err != nil {
		return nil, err
	}
	record, err := e.acceptJob(ctx, job)
	if err != nil {
		return nil, err
	}
	return jobStatusOf(record), nil
}

// regionFor selects the region of a job that names none. This is the entry's own region, unless only other regions
// honour guarantees of the workspace. A job can use a guarantee only in a region that honours it, and non-idempotent
// work never runs on borrowed capacity, that is, outside a guarantee.
func (e *Entry) regionFor(cfg *descriptor.Configuration, w descriptor.WorkspaceID) descriptor.RegionID {
	guaranteeRegions := scheduler.GuaranteeRegions(cfg, w)
	if len(guaranteeRegions) == 0 || slices.Contains(guaranteeRegions, e.settings.Region) {
		return e.settings.Region
	}
	return guaranteeRegions[0]
}

// checkFits rejects a job that fits neither on the known workers nor on the racks in the configuration's Fleet, even if
// all of them are available and idle.
func (e *Entry) checkFits(job *descriptor.Job, cfg *descriptor.Configuration) error {
	core := scheduler.Core{Region: job.Region}
	now := e.now()
	core.Configure(cfg, now)
	for _, a := range e.agents.snapshot() {
		if a.report.Worker != nil && !a.replaced {
			core.SetWorker(*a.report.Worker, now)
		}
	}
	if err := core.Submit(*job, now, now); errors.Is(err, scheduler.ErrNeverFits) {
		return validator.Errors{{Field: "Tasks", Reason: err.Error()}}
	}
	return nil
}

// acceptJob records a job in the store and announces it.
func (e *Entry) acceptJob(ctx context.Context, job descriptor.Job) (keeper.JobRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, storeAccessTimeout)
	defer cancel()
	jobs := keeper.Jobs{Store: e.store, Region: job.Region}
	record, err := jobs.Accept(ctx, keeper.JobRecord{Job: job, Accepted: e.now(), State: keeper.JobQueued})
	switch {
	case errors.Is(err, keeper.ErrJobExists):
		return record, notRunErrorf(http.StatusConflict, "ID: workspace %q has another job %q", job.Workspace, job.ID)
	case err != nil && errors.Is(err, keeper.ErrOutcomeUnknown):
		return record, httpErrorf(http.StatusServiceUnavailable, "it is not known whether the job was recorded, repeat the call with the same ID: %v", err)
	case err != nil:
		return record, notRunErrorf(http.StatusServiceUnavailable, "the job could not be recorded: %v", err)
	}
	e.audit("job "+job.Key().String(), "accepted", fmt.Sprintf("%d tasks of %d accelerators", job.Tasks, job.PerTask.Accelerators))
	e.announceJob(record)
	return record, nil
}

// announceJob sends a new or changed job record to the entries of the job's region. A lost message delays the change by
// at most jobRefreshInterval.
func (e *Entry) announceJob(record keeper.JobRecord) {
	change := messenger.JobChanged{
		Job:       record.Job,
		Accepted:  record.Accepted,
		Cancelled: record.State == keeper.JobCancelling,
		Ended:     record.State == keeper.JobEnded,
		Result:    record.Result,
		Reason:    record.Reason,
		EndedAt:   record.EndedAt,
	}
	for _, p := range e.peers.liveEntries(record.Job.Region, e.now()) {
		if p.Entry == e.settings.Name {
			e.jobs.put(record)
			e.duty.wake()
			continue
		}
		e.inFlight.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
			defer cancel()
			var empty messenger.Empty
			_ = e.call(ctx, p.Address, messenger.KindJobChanged, change, &empty)
		})
	}
}

// handleJobChanged adds or updates the cached record of a job. The message holds no attempt, so the attempt in the
// cached record is kept.
func (e *Entry) handleJobChanged(c messenger.JobChanged) (any, error) {
	record := keeper.JobRecord{Job: c.Job, Accepted: c.Accepted, State: keeper.JobQueued}
	if cached, ok := e.jobs.get(c.Job.Key()); ok {
		record.State = cached.State
		record.Attempt = cached.Attempt
		record.Epoch = cached.Epoch
	}
	if c.Cancelled {
		record.State = keeper.JobCancelling
	}
	if c.Ended {
		record.State = keeper.JobEnded
		record.Result = c.Result
		record.Reason = c.Reason
		record.EndedAt = c.EndedAt
	}
	e.jobs.put(record)
	e.duty.wake()
	return messenger.Empty{}, nil
}

// findJob looks up a job in the cache, and then in the records of all regions in the store.
func (e *Entry) findJob(ctx context.Context, k descriptor.JobKey) (keeper.JobRecord, error) {
	if r, ok := e.jobs.get(k); ok {
		return r, nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeAccessTimeout)
	defer cancel()
	for _, region := range append([]descriptor.RegionID{e.settings.Region}, e.otherRegions()...) {
		jobs := keeper.Jobs{Store: e.store, Region: region}
		r, err := jobs.Get(ctx, k)
		if err == nil {
			return r, nil
		}
		if !errors.Is(err, keeper.ErrNotFound) {
			return r, err
		}
	}
	return keeper.JobRecord{}, httpErrorf(http.StatusNotFound, "no job %s", k)
}

// jobKeyFromPath returns the key of the job that the URL path names. For a job of a workspace that the caller may not
// use, the error is the one for a job that does not exist.
func jobKeyFromPath(r *http.Request, c caller) (descriptor.JobKey, error) {
	k := descriptor.JobKey{Workspace: descriptor.WorkspaceID(r.PathValue("workspace")), Job: descriptor.JobID(r.PathValue("id"))}
	if !c.mayUse(k.Workspace) {
		return k, httpErrorf(http.StatusNotFound, "no job %s", k)
	}
	return k, nil
}

func (e *Entry) getJob(ctx context.Context, c caller, r *http.Request) (any, error) {
	k, err := jobKeyFromPath(r, c)
	if err != nil {
		return nil, err
	}
	record, err := e.findJob(ctx, k)
	if err != nil {
		return nil, err
	}
	return jobStatusOf(record), nil
}

// listJobs returns the jobs of this entry's region that the caller may see.
func (e *Entry) listJobs(_ context.Context, c caller, _ *http.Request) (any, error) {
	statuses := []JobStatus{}
	for _, r := range e.jobs.snapshot() {
		if c.mayUse(r.Job.Workspace) {
			statuses = append(statuses, jobStatusOf(r))
		}
	}
	return struct{ Jobs []JobStatus }{statuses}, nil
}

func (e *Entry) cancelJob(ctx context.Context, c caller, r *http.Request) (any, error) {
	k, err := jobKeyFromPath(r, c)
	if err != nil {
		return nil, err
	}
	current, err := e.findJob(ctx, k)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, storeAccessTimeout)
	defer cancel()
	jobs := keeper.Jobs{Store: e.store, Region: current.Job.Region}
	record, err := jobs.Change(ctx, k, func(r *keeper.JobRecord) error {
		if r.State == keeper.JobEnded {
			return errAlreadyEnded
		}
		r.State = keeper.JobCancelling
		return nil
	})
	if errors.Is(err, errAlreadyEnded) {
		return nil, httpErrorf(http.StatusConflict, "job %s has ended already", k)
	}
	if err != nil {
		return nil, err
	}
	e.audit("job "+k.String(), "cancelled", "by its caller")
	e.announceJob(record)
	return jobStatusOf(record), nil
}

// JobExplanation is the response to a request to explain the state of a job.
type JobExplanation struct {
	Job JobStatus
	// Decision is the scheduler's explanation. It is absent if no scheduler answers or the job has ended.
	Decision *scheduler.Explanation `json:",omitempty"`
	// Note is the reason why Decision is absent.
	Note string `json:",omitempty"`
	// Audit holds this entry's audit records of the job.
	Audit []recorder.AuditRecord `json:",omitempty"`
}

// auditLimit is the maximum number of audit records in one response.
const auditLimit = 50

func (e *Entry) explainJob(ctx context.Context, c caller, r *http.Request) (any, error) {
	k, err := jobKeyFromPath(r, c)
	if err != nil {
		return nil, err
	}
	record, err := e.findJob(ctx, k)
	if err != nil {
		return nil, err
	}
	explanation := JobExplanation{Job: jobStatusOf(record), Audit: e.auditTrail.Find("job "+k.String(), auditLimit)}
	document, err := e.queryScheduler(ctx, record.Job.Region, messenger.KindExplain, messenger.ExplainQuery{Key: k})
	if err != nil {
		explanation.Note = err.Error()
		return explanation, nil
	}
	explanation.Decision = &scheduler.Explanation{}
	if err := json.Unmarshal(document, explanation.Decision); err != nil {
		return nil, fmt.Errorf("explanation from the scheduler: %w", err)
	}
	return explanation, nil
}

// queryScheduler sends a query to the scheduler of a region, which may be this entry.
func (e *Entry) queryScheduler(ctx context.Context, region descriptor.RegionID, kind messenger.Kind, query any) (json.RawMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	address, ok := e.peers.schedulerAddress(region)
	if !ok {
		return nil, fmt.Errorf("no scheduler of region %s is known at this moment", region)
	}
	if address == e.address {
		return e.duty.answerQuery(ctx, query)
	}
	var a messenger.JSONDocument
	if err := e.call(ctx, address, kind, query, &a); err != nil {
		return nil, fmt.Errorf("scheduler of region %s: %w", region, err)
	}
	return a.JSON, nil
}
