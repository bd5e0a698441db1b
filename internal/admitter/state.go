package admitter

import (
	"context"
	"errors"
	"fmt"
	"time"

	"persimmontrail/internal/archiver"
	"persimmontrail/internal/planner"
	"persimmontrail/pkg/descriptor"
)

// progressReadTimeout bounds the read of a workload's progress from the store. After it, the mirror's copy is used.
const progressReadTimeout = 300 * time.Millisecond

// State returns the state of a workload, which is JobCancelled as soon as an unfinished workload is marked as
// cancelled. A workload that is not in the mirror is read from the store before State returns ErrNoJob.
func (a *Admitter) State(ctx context.Context, t Target, id descriptor.JobID) (planner.JobState, error) {
	r, _, err := a.findRecord(ctx, t, id)
	if err != nil {
		return 0, err
	}
	p, err := a.readProgress(ctx, id)
	if err != nil {
		return 0, err
	}
	if !p.State.Final() && r.Cancelled {
		return planner.JobCancelled, nil
	}
	return p.State, nil
}

// findRecord returns the record of a workload and the item that holds it, from the mirror or else from the store. It
// returns ErrNoJob for a workload of another queue or workspace than the target's.
func (a *Admitter) findRecord(ctx context.Context, t Target, id descriptor.JobID) (planner.Record, archiver.Item, error) {
	var r planner.Record
	key := archiver.JobKey(id)
	i, ok := a.Documents.Get(key)
	if !ok {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		var err error
		if i, err = a.Store.Get(callCtx, key); errors.Is(err, archiver.ErrNotFound) {
			return r, i, ErrNoJob
		} else if err != nil {
			return r, i, errors.Join(ErrStoreUnreachable, err)
		}
		a.Documents.Merge(i)
	}
	if err := archiver.Decode(i.Value, &r); err != nil {
		return r, i, errors.Join(ErrRefused, err)
	}
	return r, i, checkRecord(&r, t)
}

// checkRecord returns ErrNoJob for the record of a workload of another queue or workspace than the target's, and for that
// of a workload which was cancelled before it was accepted.
func checkRecord(r *planner.Record, t Target) error {
	if r.Withdrawn() {
		return ErrNoJob
	}
	if r.Workload.Queue != t.Queue.Name || r.Workload.Workspace != t.Workspace {
		return errors.Join(ErrNoJob, errOtherTarget)
	}
	return nil
}

// readProgress returns the progress of an existing workload. It is zero until the leader has processed the workload.
func (a *Admitter) readProgress(ctx context.Context, id descriptor.JobID) (planner.Progress, error) {
	var p planner.Progress
	key := archiver.ProgressKey(id)
	i, ok := a.Documents.Get(key)
	if ok {
		if err := archiver.Decode(i.Value, &p); err != nil {
			return p, errors.Join(ErrRefused, err)
		}
	}
	if p.State.Final() || a.Documents.Disconnected() {
		return p, nil
	}
	// Read from the store, since callers poll for the end of a workload and a watch may report it a second late.
	callCtx, cancel := context.WithTimeout(ctx, progressReadTimeout)
	defer cancel()
	i, err := a.Store.Get(callCtx, key)
	switch {
	case errors.Is(err, archiver.ErrNotFound):
		return planner.Progress{}, nil
	case err != nil:
		// Fall back to the mirror, which may be some seconds old.
		return p, nil
	}
	a.Documents.Merge(i)
	p = planner.Progress{}
	if err := archiver.Decode(i.Value, &p); err != nil {
		return p, errors.Join(ErrRefused, err)
	}
	return p, nil
}

// Cancel marks a workload as cancelled. It also succeeds if the workload has ended or is already cancelled. Before it
// returns ErrNoJob for an id without a record, it stores a withdrawal, so that no submission which is still under way can be
// accepted after that answer.
func (a *Admitter) Cancel(ctx context.Context, t Target, id descriptor.JobID) error {
	var r planner.Record
	i, known := a.Documents.Get(archiver.JobKey(id))
	if known {
		if err := archiver.Decode(i.Value, &r); err != nil {
			return errors.Join(ErrRefused, err)
		}
		if err := checkRecord(&r, t); err != nil || r.Cancelled {
			return err
		}
	}
	if a.Documents.Disconnected() {
		return ErrStoreUnreachable
	}
	if !known && !a.allowWithdrawal(t.Workspace) {
		return fmt.Errorf("%w: too many cancellations of unknown jobs", ErrRefused)
	}
	failure := ErrStoreUnreachable
	for tries := 1; ; tries++ {
		written, err := a.commitCancellation(ctx, id, i, r)
		var conflict *archiver.ConflictError
		switch {
		case err == nil && i.Revision == 0:
			return ErrNoJob
		case err == nil:
			a.notifyLeader(written)
			return nil
		case errors.As(err, &conflict):
			if len(conflict.Items) == 0 || conflict.Items[0].Revision == 0 {
				// The record was removed, long after the end of the workload.
				return ErrNoJob
			}
			i, r = conflict.Items[0], planner.Record{}
			if err := archiver.Decode(i.Value, &r); err != nil {
				return errors.Join(ErrRefused, err)
			}
			a.Documents.Merge(i)
			if err := checkRecord(&r, t); err != nil || r.Cancelled {
				return err
			}
			continue
		case errors.Is(err, archiver.ErrOutcomeUnknown):
			failure = ErrOutcomeUnknown
		case failure != ErrOutcomeUnknown && !errors.Is(err, archiver.ErrLeaseLost):
			return errors.Join(failure, err)
		}
		if tries >= maxCommitTries || !sleep(ctx, commitRetryDelay) {
			return errors.Join(failure, err)
		}
	}
}

// commitCancellation marks the record r in item i as cancelled, or stores a withdrawal if i has revision 0, on the
// condition that nothing has changed since. It returns the written item.
func (a *Admitter) commitCancellation(ctx context.Context, id descriptor.JobID, i archiver.Item, r planner.Record) (archiver.Item, error) {
	r.Cancelled = true
	var lease archiver.LeaseID
	if i.Revision == 0 {
		r = planner.Withdrawal(id)
		var err error
		if lease, err = a.withdrawalLease(ctx); err != nil {
			return i, err
		}
	}
	written := archiver.Item{Key: archiver.JobKey(id), Value: archiver.Encode(r), Created: i.Created}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	revision, err := a.Store.Commit(callCtx, archiver.Txn{
		If:  []archiver.Condition{{Key: written.Key, Revision: i.Revision}},
		Put: []archiver.Write{{Key: written.Key, Value: written.Value, Lease: lease}},
	})
	if errors.Is(err, archiver.ErrLeaseLost) {
		a.dropWithdrawalLease(lease)
	}
	if err != nil {
		return i, err
	}
	written.Revision = revision
	if i.Revision == 0 {
		written.Created = revision
	}
	a.Documents.Merge(written)
	return written, nil
}

// CountWaiting counts the workloads of a queue, of all workspaces, that are neither cancelled nor ended and of which no
// task has run yet. It uses only the mirror, which may be outdated.
func (a *Admitter) CountWaiting(t Target) int {
	notCancelled := map[descriptor.JobID]bool{}
	startedOrEnded := map[descriptor.JobID]bool{}
	a.Documents.Each(func(i archiver.Item) bool {
		kind, name := archiver.ParseKey(i.Key)
		switch kind {
		case archiver.KindJob:
			var r planner.Record
			if err := archiver.Decode(i.Value, &r); err != nil {
				a.Log.Error("failed to decode document", "key", i.Key, "err", err)
			} else if r.Workload.Queue == t.Queue.Name && !r.Cancelled {
				notCancelled[descriptor.JobID(name)] = true
			}
		case archiver.KindProgress:
			var p planner.Progress
			if err := archiver.Decode(i.Value, &p); err != nil {
				a.Log.Error("failed to decode document", "key", i.Key, "err", err)
			} else if p.Begun || p.State.Final() {
				startedOrEnded[descriptor.JobID(name)] = true
			}
		}
		return true
	})
	waiting := 0
	for id := range notCancelled {
		if !startedOrEnded[id] {
			waiting++
		}
	}
	return waiting
}
