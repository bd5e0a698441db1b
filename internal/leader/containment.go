package leader

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"

	"persimmontrail/internal/archiver"
	"persimmontrail/pkg/descriptor"
)

var (
	// errPanic means that a panic has ended the term.
	errPanic = errors.New("panic in the term")
	// errSetAside means that the workload made the planner panic before.
	errSetAside = errors.New("workload made the planner panic")
)

// runContained runs the term and turns a panic into an error that wraps errPanic. The state of the term may be half
// changed then, so the term is not used any more: the next one is built from the store, without the workload that was
// being processed.
func (t *term) runContained(ctx context.Context) (err error) {
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		id := t.core.CurrentJob()
		t.leader.Log.Error("panic in the leader's term; the workload is set aside", "job", id, "revision", t.recordRevisions[id],
			"fence", t.fence, "panic", p, "stack", string(debug.Stack()))
		t.leader.Metrics.Increment("panics_total")
		t.leader.addSetAside(id, t.recordRevisions[id])
		err = fmt.Errorf("%w: %v", errPanic, p)
	}()
	return t.run(ctx)
}

// addSetAside leaves a workload out of later terms of this process while its record has the given revision.
func (ld *Leader) addSetAside(id descriptor.JobID, revision archiver.Revision) {
	if id == "" {
		return
	}
	ld.mu.Lock()
	defer ld.mu.Unlock()
	if ld.setAside == nil {
		ld.setAside = map[descriptor.JobID]archiver.Revision{}
	}
	ld.setAside[id] = revision
}

// isSetAside reports whether the record of a workload at the given revision made the planner panic.
func (ld *Leader) isSetAside(id descriptor.JobID, revision archiver.Revision) bool {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	known, ok := ld.setAside[id]
	return ok && known == revision
}

// setAsideDocument logs and counts a document that the term does not use. It stays in the store and is looked at again
// when it changes, and by the next term.
func (ld *Leader) setAsideDocument(i archiver.Item, err error) {
	ld.Log.Error("document set aside", "key", i.Key, "revision", i.Revision, "err", err)
	ld.Metrics.Increment("set_aside_total", "source", "Store")
}
