package leader

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"persimmontrail/internal/agent"
	"persimmontrail/internal/archiver"
	"persimmontrail/internal/assessor"
	"persimmontrail/internal/planner"
	"persimmontrail/pkg/descriptor"
)

const (
	// startValidity is the time after the sending of a start during which it may take effect. It covers the 0.75 s for
	// which agents retry a start.
	startValidity = 2500 * time.Millisecond
	// maxRoundInterval is the longest pause between two scheduling rounds.
	maxRoundInterval = 500 * time.Millisecond
	// progressRoundInterval is the shortest time between the starts of two rounds when only progress was reported; a round
	// over a hundred workloads takes a few milliseconds on a fifth of a core.
	progressRoundInterval = 120 * time.Millisecond
	// maxClockSlowdown is the largest factor by which a worker's clock may be slower than true time.
	maxClockSlowdown = 1.03
	// discardLogInterval is the pause between two log lines on discarded work.
	discardLogInterval = 10 * time.Second
	// sweepInterval is the pause between two searches for ended workloads to remove.
	sweepInterval = 5 * time.Second
)

// term is one period of leadership. Its fields belong to the goroutine of run, with these exceptions: agentCount and
// leaseEnd are atomic, mu guards inbox, and any goroutine may read the fields that do not change after run has started.
type term struct {
	leader *Leader
	fence  descriptor.Fence
	core   *planner.Core
	links  map[string]*link
	// agentCount is the number of links. The goroutines of the links read it to compute how long a poll waits; see
	// pollWait.
	agentCount atomic.Int64
	// revisions holds the revision of each Progress document as last written or read.
	revisions map[descriptor.JobID]archiver.Revision
	// recordRevisions holds the revision of each Record as last read.
	recordRevisions map[descriptor.JobID]archiver.Revision
	// leaseEnd is the boot time in nanoseconds at which the lease may expire; 0 until it is known.
	leaseEnd atomic.Int64
	// endedSince holds the time at which each ended workload was first seen as ended.
	endedSince map[descriptor.JobID]time.Time
	// writeNumber is the number of the last progress write of this term. It is stored in Progress.Change.
	writeNumber int64
	startedAt   time.Time
	lastSweep   time.Time
	lastRound   time.Time
	// discarded holds the core-seconds of work lost in this term, by cause; discardLogAt is when they were last logged.
	discarded    map[string]float64
	discardLogAt time.Time
	// expectations holds what the planner has learned about run times.
	expectations expectations
	// pendingStops are stop orders that follow from reports; the next round sends them.
	pendingStops []planner.Order
	// linkCtx is the context of run, kept for links that are opened later and for calls with orders.
	linkCtx context.Context

	mu sync.Mutex
	// inbox holds the functions that the goroutine of run is to call.
	inbox []func()
	// wakeup ends the pause between two rounds.
	wakeup chan struct{}
}

func newTerm(ld *Leader, fence descriptor.Fence) *term {
	t := &term{
		leader: ld, fence: fence, core: planner.New(ld.Limits), links: map[string]*link{},
		revisions: map[descriptor.JobID]archiver.Revision{}, recordRevisions: map[descriptor.JobID]archiver.Revision{}, endedSince: map[descriptor.JobID]time.Time{},
		wakeup: make(chan struct{}, 1), startedAt: time.Now(), discarded: map[string]float64{}, discardLogAt: time.Now(),
	}
	t.core.Discarded = func(cause string, coreSeconds float64) {
		t.discarded[cause] += coreSeconds
		ld.Metrics.Add("discarded_core_seconds_total", coreSeconds, "cause", cause)
	}
	t.core.HealthChanged = func(change assessor.Change) {
		ld.Metrics.Increment("worker_health_changes_total", "to", change.To.String(), "reason", change.Reason)
	}
	t.core.Contended = func(outcome string) { ld.Metrics.Add("room_searches_total", 1, "outcome", outcome) }
	t.core.PreferFast = ld.PreferFastWorkers
	t.learnRunTimes()
	t.core.LogEvent = func(message string, job descriptor.JobID, details ...any) {
		ld.Log.Info(message, append([]any{"job", job, "fence", fence}, details...)...)
	}
	return t
}

// post makes the term's goroutine call f. It does not wait for the call.
func (t *term) post(f func()) {
	t.mu.Lock()
	t.inbox = append(t.inbox, f)
	t.mu.Unlock()
	select {
	case t.wakeup <- struct{}{}:
	default:
	}
}

// handleInbox calls the posted functions.
func (t *term) handleInbox() {
	t.mu.Lock()
	functions := t.inbox
	t.inbox = nil
	t.mu.Unlock()
	for _, f := range functions {
		f()
	}
}

// run loads the documents and schedules until ctx is done or the term is lost. The error is never nil and says why the
// term ended.
func (t *term) run(ctx context.Context) error {
	t.linkCtx = ctx
	t.readExpectations(ctx)
	if err := t.load(ctx); err != nil {
		return err
	}
	t.applySettings()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-t.wakeup:
		case <-timer.C:
		}
		t.handleInbox()
		if wait := t.minRoundDelay(); wait > 0 {
			timer.Reset(wait)
			continue
		}
		if err := t.runRound(ctx); err != nil {
			return err
		}
		timer.Reset(t.maxRoundDelay())
	}
}

// extendLease records that the lease lasts until the given boot time, unless it is known to last longer.
func (t *term) extendLease(end time.Duration) {
	for {
		old := t.leaseEnd.Load()
		if old >= int64(end) || t.leaseEnd.CompareAndSwap(old, int64(end)) {
			return
		}
	}
}

// leaseLeft returns the time until the lease may expire; it is below 0 after that.
func (t *term) leaseLeft() time.Duration {
	return time.Duration(t.leaseEnd.Load()) - t.leader.bootTime()
}

// leaseExpired reports whether the lease may have expired.
func (t *term) leaseExpired() bool { return t.leaseEnd.Load() != 0 && t.leaseLeft() <= 0 }

// minRoundDelay returns how long the next round is delayed: not at all if anything but progress has changed, else for
// the rest of progressRoundInterval, or until the next plan is due if that is earlier.
func (t *term) minRoundDelay() time.Duration {
	if t.core.PlanNeeded() || len(t.pendingStops) > 0 {
		return 0
	}
	due := t.lastRound.Add(progressRoundInterval)
	if r := t.core.NextPlanAt(); !r.IsZero() && r.Before(due) {
		due = r
	}
	return time.Until(due)
}

// maxRoundDelay returns the longest time until the next round: maxRoundInterval, or less if the next plan is due
// earlier.
func (t *term) maxRoundDelay() time.Duration {
	delay := maxRoundInterval
	if r := t.core.NextPlanAt(); !r.IsZero() {
		delay = min(delay, max(time.Until(r), time.Millisecond))
	}
	return delay
}

// load reads all documents, and repeats a failed read until ctx is done. The progress cannot change meanwhile, since
// only the holder of the leader key can write it.
func (t *term) load(ctx context.Context) error {
	var items []archiver.Item
	for {
		callCtx, cancel := context.WithTimeout(ctx, 3*storeTimeout)
		var err error
		items, _, err = t.leader.Store.ReadAll(callCtx, archiver.Prefix)
		cancel()
		if err == nil {
			break
		}
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		t.leader.Log.Warn("failed to read documents, retrying", "err", err)
		sleep(ctx, retryPause)
	}
	loaded := 0
	progress := map[descriptor.JobID]archiver.Item{}
	for _, i := range items {
		t.leader.Mirror.Merge(i)
		switch kind, name := archiver.ParseKey(i.Key); kind {
		case archiver.KindProgress:
			progress[descriptor.JobID(name)] = i
			t.revisions[descriptor.JobID(name)] = i.Revision
		case archiver.KindAgent:
			t.addAgent(ctx, i)
		}
	}
	now := time.Now()
	for _, i := range items {
		kind, name := archiver.ParseKey(i.Key)
		if kind != archiver.KindJob {
			continue
		}
		r, err := t.decodeRecord(descriptor.JobID(name), i)
		if err == nil && r.Withdrawn() {
			continue
		}
		var p planner.Progress
		if stored, ok := progress[descriptor.JobID(name)]; ok && err == nil {
			if p, err = decodeProgress(&r, stored); err != nil {
				t.leader.setAsideDocument(stored, err)
				continue
			}
		}
		if err != nil {
			t.leader.setAsideDocument(i, err)
			continue
		}
		t.core.Load(r, p, now)
		loaded++
	}
	t.core.ExpectReports(slices.Collect(maps.Keys(t.links)), now)
	t.leader.Log.Info("documents loaded", "jobs", loaded, "agents", len(t.links), "took", time.Since(t.startedAt))
	return nil
}

// decodeRecord decodes and checks the record of a workload.
func (t *term) decodeRecord(id descriptor.JobID, i archiver.Item) (planner.Record, error) {
	var r planner.Record
	if err := archiver.Decode(i.Value, &r); err != nil {
		return r, err
	}
	if err := r.Check(id); err != nil {
		return r, err
	}
	if t.leader.isSetAside(id, i.Revision) {
		return r, errSetAside
	}
	t.recordRevisions[id] = i.Revision
	return r, nil
}

// decodeProgress decodes the progress of the workload in a record, and checks that it fits to it.
func decodeProgress(r *planner.Record, i archiver.Item) (planner.Progress, error) {
	var p planner.Progress
	if err := archiver.Decode(i.Value, &p); err != nil {
		return p, err
	}
	return p, p.Check(&r.Workload)
}

// handleDocumentChange processes a change of a job or agent document that the mirror has reported. The removal of an
// agent's document is ignored.
func (t *term) handleDocumentChange(event archiver.Event) {
	kind, name := archiver.ParseKey(event.Key)
	switch kind {
	case archiver.KindJob:
		if event.Removed {
			t.core.Forget(descriptor.JobID(name))
			return
		}
		r, err := t.decodeRecord(descriptor.JobID(name), event.Item)
		if err != nil {
			t.leader.setAsideDocument(event.Item, err)
			return
		}
		if r.Withdrawn() {
			return
		}
		if _, known := t.core.Progress(r.Workload.ID); !known {
			if stored, ok := t.leader.Mirror.Get(archiver.ProgressKey(r.Workload.ID)); ok {
				// The record was set aside when this term began, and has changed since.
				p, err := decodeProgress(&r, stored)
				if err != nil {
					t.leader.setAsideDocument(stored, err)
					return
				}
				t.revisions[r.Workload.ID] = stored.Revision
				t.core.Load(r, p, time.Now())
			}
		}
		t.core.Submit(r, time.Now())
	case archiver.KindAgent:
		if !event.Removed {
			t.addAgent(t.ctx(), event.Item)
		}
	}
}

func (t *term) applySettings() {
	s := t.leader.Settings()
	t.core.SetGuarantees(s.Accounts)
	t.core.SetExcludedDomains(s.ExcludedDomains)
}

// runRound makes one round of scheduling decisions, stores the changed progress, then sends the orders. Plan and write may
// take longer than the age at which a report is too old for a start, so what has arrived meanwhile is handled before the
// orders are checked and sent.
func (t *term) runRound(ctx context.Context) error {
	start := time.Now()
	t.lastRound = start
	t.removeExpiredNodes(start)
	orders := append(t.pendingStops, t.core.Plan(start)...)
	t.pendingStops = nil
	t.leader.Metrics.ObserveDuration("plan_seconds", time.Since(start))
	changed := t.core.TakeChangedJobs()
	if len(changed) > 0 {
		if err := t.writeProgress(ctx, changed); err != nil {
			return err
		}
		t.leader.Metrics.ObserveDuration("write_seconds", time.Since(start))
	}
	t.acknowledgeEnds()
	t.handleInbox()
	t.sendOrders(orders, time.Now())
	t.removeEnded(ctx, start)
	t.logDiscarded(start)
	t.writeExpectations(ctx, start)
	return nil
}

// acknowledgeEnds acknowledges the ended attempts that the planner has recorded. It must be called when the progress is
// durable, before further reports reach the planner.
func (t *term) acknowledgeEnds() {
	for node, l := range t.links {
		incarnation, recordedSeq := t.core.RecordedSeq(node)
		l.acknowledge(incarnation, recordedSeq)
	}
}

// sendOrders sends the orders. Starts that are no longer allowed are dropped and count as refused; orders to nodes
// without a link are not sent.
func (t *term) sendOrders(orders []planner.Order, now time.Time) {
	batches := map[string]*orderBatch{}
	// batch returns the call to which an order is added, after it has sent one that has no room for it.
	batch := func(o planner.Order) *agent.SyncRequest {
		b := batches[o.Node]
		if b != nil && !b.add(o) {
			t.links[o.Node].send(b.call)
			b = nil
		}
		if b == nil {
			b = &orderBatch{call: agent.SyncRequest{Fence: t.fence, Incarnation: o.Incarnation}, specs: map[string]bool{}}
			b.add(o)
			batches[o.Node] = b
		}
		return &b.call
	}
	for _, o := range orders {
		l := t.links[o.Node]
		if l == nil {
			continue
		}
		if o.Stop {
			t.logOrder("stop", o)
			b := batch(o)
			b.Stops = append(b.Stops, o.Attempt)
			continue
		}
		if !t.core.StartAllowed(o, now) {
			t.logOrder("start dropped, no longer allowed", o)
			t.core.DropStart(o, now)
			t.wake()
			continue
		}
		t.logOrder("start", o)
		deadline := l.estimatedClock(now) + descriptor.WorkerClock(startValidity.Milliseconds())
		if !t.leader.StartsUnbounded {
			t.core.SetStartDeadline(o.Node, o.Attempt, deadline)
		}
		b := batch(o)
		b.Starts = append(b.Starts, agent.Start{AttemptID: o.Attempt, Spec: o.Spec, Checkpoint: o.Checkpoint, Deadline: deadline})
	}
	for node, b := range batches {
		t.links[node].send(b.call)
	}
}

const (
	// maxOrderBytes bounds the size of a call with orders. It leaves room below agent.MaxSyncBytes, since sizes are
	// estimated, and lets a call arrive in time on a slow link.
	maxOrderBytes = agent.MaxSyncBytes / 8
	// orderBytes is more than an order takes without its spec and checkpoint.
	orderBytes = 200
)

// orderBatch is a call with orders that grows.
type orderBatch struct {
	call agent.SyncRequest
	// size is an upper estimate of the encoded size of the call, in which each of specs is written once.
	size  int
	specs map[string]bool
}

// add accounts for an order. It returns false, and changes nothing, if the call has orders and has no room for another.
func (b *orderBatch) add(o planner.Order) bool {
	size := orderBytes + len(o.Checkpoint)
	if !b.specs[o.Spec] {
		size += len(o.Spec)
	}
	if b.size > 0 && b.size+size > maxOrderBytes {
		return false
	}
	b.size += size
	b.specs[o.Spec] = true
	return true
}

// logOrder logs and counts an order. kind is the log message and the value of the metric label.
func (t *term) logOrder(kind string, o planner.Order) {
	t.leader.Metrics.Increment("decisions_total", "kind", kind)
	t.leader.Log.Info(kind, "job", o.Attempt.Task.Job, "task", o.Attempt.Task, "run", o.Attempt.Attempt, "node", o.Node, "born", o.Incarnation.Born,
		"fence", t.fence, "reason", o.Reason)
}

// wake makes the goroutine of run check whether a round is due.
func (t *term) wake() {
	select {
	case t.wakeup <- struct{}{}:
	default:
	}
}

var errTermLost = errors.New("another process is the leader")

// writeProgress stores the progress of workloads and returns once all of it is durable.
func (t *term) writeProgress(ctx context.Context, ids []descriptor.JobID) error {
	// One condition is for the leader key, and each job needs one condition and one write.
	const maxJobsPerTxn = (archiver.MaxTxnOperations - 1) / 2
	for len(ids) > 0 {
		n := min(len(ids), maxJobsPerTxn)
		if err := t.writeBatch(ctx, ids[:n]); err != nil {
			return err
		}
		ids = ids[n:]
	}
	return nil
}

// writeBatch stores the progress of some workloads in one transaction, which it retries until it knows whether the
// transaction took effect.
func (t *term) writeBatch(ctx context.Context, ids []descriptor.JobID) error {
	t.writeNumber++
	txn := archiver.Txn{If: []archiver.Condition{{Key: archiver.LeaderKey, Revision: archiver.Revision(t.fence)}}}
	for _, id := range ids {
		p, ok := t.core.Progress(id)
		if !ok {
			continue
		}
		p.Fence, p.Change = int64(t.fence), t.writeNumber
		key := archiver.ProgressKey(id)
		txn.If = append(txn.If, archiver.Condition{Key: key, Revision: t.revisions[id]})
		txn.Put = append(txn.Put, archiver.Write{Key: key, Value: archiver.Encode(p)})
	}
	for tries := 0; ; tries++ {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		revision, err := t.leader.Store.Commit(callCtx, txn)
		cancel()
		var conflict *archiver.ConflictError
		switch {
		case err == nil:
			t.setRevisions(ids, revision)
			return nil
		case errors.As(err, &conflict):
			return t.resolveConflict(ids, conflict)
		case ctx.Err() != nil:
			return context.Cause(ctx)
		}
		if tries == 0 {
			t.leader.Log.Warn("failed to write progress, retrying", "jobs", len(ids), "change", t.writeNumber, "err", err)
		}
		sleep(ctx, min(time.Duration(tries+1)*50*time.Millisecond, retryPause))
	}
}

// setRevisions records the revision of the progress documents after a write.
func (t *term) setRevisions(ids []descriptor.JobID, revision archiver.Revision) {
	for _, id := range ids {
		t.revisions[id] = revision
	}
}

// resolveConflict handles a write whose conditions failed. If an earlier try of the same write took effect without an
// answer, it adopts the stored revisions; otherwise it returns an error, which ends the term.
func (t *term) resolveConflict(ids []descriptor.JobID, conflict *archiver.ConflictError) error {
	stored := map[string]archiver.Item{}
	for _, i := range conflict.Items {
		stored[i.Key] = i
	}
	if l := stored[archiver.LeaderKey]; l.Revision != archiver.Revision(t.fence) {
		return fmt.Errorf("%w: leader key at revision %d, fence %d", errTermLost, l.Revision, t.fence)
	}
	for _, id := range ids {
		var p planner.Progress
		i := stored[archiver.ProgressKey(id)]
		if err := archiver.Decode(i.Value, &p); err != nil || p.Fence != int64(t.fence) || p.Change != t.writeNumber {
			return fmt.Errorf("progress of %s at revision %d is not the one written by this term: fence %d, change %d",
				id, i.Revision, p.Fence, p.Change)
		}
		t.revisions[id] = i.Revision
	}
	t.leader.Log.Info("progress write took effect although its answer was lost", "jobs", len(ids), "change", t.writeNumber)
	return nil
}

// logDiscarded logs what work was lost in this term, at most once per discardLogInterval.
func (t *term) logDiscarded(now time.Time) {
	if len(t.discarded) == 0 || now.Sub(t.discardLogAt) < discardLogInterval {
		return
	}
	t.discardLogAt = now
	details := []any{"fence", t.fence}
	for _, cause := range slices.Sorted(maps.Keys(t.discarded)) {
		details = append(details, cause, math.Round(t.discarded[cause]))
	}
	t.leader.Log.Info("work discarded in this term, core-seconds", details...)
}

// removeExpiredNodes gives up the attempts on workers whose hold deadline has certainly passed.
func (t *term) removeExpiredNodes(now time.Time) {
	for _, node := range t.core.NodesWithAttempts() {
		l := t.links[node]
		if l == nil || !l.reported {
			// A former leader may have extended the hold by MaxHold just before this term began. After a restart of the
			// worker the same wait applies, because a start order sent to the former incarnation may still take effect in
			// the new one.
			waitingSince := t.startedAt
			if l != nil {
				waitingSince = l.waitingSince
			}
			if now.Sub(waitingSince) > time.Duration(maxClockSlowdown*float64(t.leader.MaxHold+t.leader.HoldSlack))+leaderLeaseTTL {
				t.core.ExpireNode(node, now, "no report in this term, all hold deadlines have passed")
			}
			continue
		}
		if l.holdExpired(now) {
			t.core.ExpireNode(node, now, "no report, hold deadline has passed")
		}
	}
}

// removeEnded removes the documents of finished workloads once EndedRetention has passed since this term first saw them
// as finished. It searches at most once per sweepInterval and ends the search at the first failed write.
func (t *term) removeEnded(ctx context.Context, now time.Time) {
	if now.Sub(t.lastSweep) < sweepInterval {
		return
	}
	t.lastSweep = now
	for _, id := range t.core.FinishedJobs() {
		firstSeen, ok := t.endedSince[id]
		if !ok {
			t.endedSince[id] = now
			continue
		}
		if now.Sub(firstSeen) < t.leader.EndedRetention {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		_, err := t.leader.Store.Commit(callCtx, archiver.Txn{
			If:     []archiver.Condition{{Key: archiver.LeaderKey, Revision: archiver.Revision(t.fence)}},
			Remove: []string{archiver.JobKey(id), archiver.ProgressKey(id)},
		})
		cancel()
		if err != nil {
			t.leader.Log.Warn("failed to remove ended workload", "job", id, "err", err)
			return
		}
		delete(t.endedSince, id)
		delete(t.revisions, id)
		delete(t.recordRevisions, id)
		t.core.Forget(id)
	}
}
