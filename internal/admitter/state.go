package admitter

import (
	"context"
	"errors"
	"time"

	"persimmontrail/internal/archiver"
	"persimmontrail/internal/planner"
	"persimmontrail/pkg/descriptor"
)

// stateTimeout bounds the read of a state; what the mirror knows is the answer after it.
const stateTimeout = 300 * time.Millisecond

// State returns what a workload has come to. It says ErrNoJob only by a read that cannot be stale.
func (a *Admitter) State(ctx context.Context, t Target, id descriptor.JobID) (planner.JobState, error) {
	r, _, err := a.record(ctx, t, id)
	if err != nil {
		return 0, err
	}
	p, err := a.progress(ctx, id)
	if err != nil {
		return 0, err
	}
	if !p.State.Final() && r.Cancelled {
		return planner.JobCancelled, nil
	}
	return p.State, nil
}

// record finds a workload of the target's queue and workspace.
func (a *Admitter) record(ctx context.Context, t Target, id descriptor.JobID) (planner.Record, archiver.Item, error) {
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
			return r, i, errors.Join(ErrLocal, err)
		}
		a.Documents.Note(i)
	}
	if err := archiver.Decode(i.Value, &r); err != nil {
		return r, i, errors.Join(ErrRefused, err)
	}
	if r.Workload.Queue != t.Queue.Name || r.Workload.Workspace != t.Workspace {
		return r, i, ErrNoJob
	}
	return r, i, nil
}

// progress returns the progress of a workload that exists; it is zero until the leader has touched it.
func (a *Admitter) progress(ctx context.Context, id descriptor.JobID) (planner.Progress, error) {
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
	// Callers wait for the end, and a watch may hear of it a second late.
	callCtx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	i, err := a.Store.Get(callCtx, key)
	switch {
	case errors.Is(err, archiver.ErrNotFound):
		return planner.Progress{}, nil
	case err != nil:
		// What is known is the best that this process can say; the state may be some seconds old.
		return p, nil
	}
	a.Documents.Note(i)
	p = planner.Progress{}
	if err := archiver.Decode(i.Value, &p); err != nil {
		return p, errors.Join(ErrRefused, err)
	}
	return p, nil
}

// Cancel ends a workload. It succeeds also for one that has ended.
func (a *Admitter) Cancel(ctx context.Context, t Target, id descriptor.JobID) error {
	r, i, err := a.record(ctx, t, id)
	if err != nil {
		return err
	}
	key := archiver.JobKey(id)
	if a.Documents.Disconnected() && !r.Cancelled {
		return ErrLocal
	}
	unknown := false
	for tries := 1; !r.Cancelled; tries++ {
		r.Cancelled = true
		data := archiver.Encode(r)
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		revision, err := a.Store.Commit(callCtx, archiver.Txn{
			If:  []archiver.Condition{{Key: key, Revision: i.Revision}},
			Put: []archiver.Write{{Key: key, Value: data}},
		})
		cancel()
		var conflict *archiver.ConflictError
		switch {
		case err == nil:
			item := archiver.Item{Key: key, Value: data, Revision: revision, Created: i.Created}
			a.Documents.Note(item)
			a.tellLeader(item)
			return nil
		case errors.As(err, &conflict):
			if len(conflict.Items) == 0 || conflict.Items[0].Revision == 0 {
				return ErrNoJob
			}
			i, r = conflict.Items[0], planner.Record{}
			if err := archiver.Decode(i.Value, &r); err != nil {
				return errors.Join(ErrRefused, err)
			}
			a.Documents.Note(i)
			continue
		case errors.Is(err, archiver.ErrOutcomeUnknown):
			unknown = true
		case !unknown:
			return errors.Join(ErrLocal, err)
		}
		r.Cancelled = false
		if tries >= maxTries || !pause(ctx, commitRetry) {
			return errors.Join(ErrUnknown, err)
		}
	}
	return nil
}

// Waiting counts the workloads of a queue for which no task has run yet.
func (a *Admitter) Waiting(t Target) int {
	queued := map[descriptor.JobID]bool{}
	begun := map[descriptor.JobID]bool{}
	a.Documents.Each(func(i archiver.Item) bool {
		kind, name := archiver.ParseKey(i.Key)
		switch kind {
		case archiver.KindJob:
			var r planner.Record
			if err := archiver.Decode(i.Value, &r); err != nil {
				a.Log.Error("document not readable", "key", i.Key, "err", err)
			} else if r.Workload.Queue == t.Queue.Name && !r.Cancelled {
				queued[descriptor.JobID(name)] = true
			}
		case archiver.KindProgress:
			var p planner.Progress
			if err := archiver.Decode(i.Value, &p); err != nil {
				a.Log.Error("document not readable", "key", i.Key, "err", err)
			} else if p.Begun || p.State.Final() {
				begun[descriptor.JobID(name)] = true
			}
		}
		return true
	})
	n := 0
	for id := range queued {
		if !begun[id] {
			n++
		}
	}
	return n
}
