package supervisor

import (
	"context"
	"sync"
	"time"

	"persimmontrail/internal/enforcer"
	"persimmontrail/pkg/descriptor"
)

const (
	// activePollInterval is the polling interval while tasks run. It bounds the delay until the end of a task is noticed.
	activePollInterval = 250 * time.Millisecond
	// idlePollInterval is the polling interval while nothing runs.
	idlePollInterval = time.Second
	// workerCallTimeout bounds one poll or renewal. A lease does not expire if up to two renewals in a row fail.
	workerCallTimeout = 1500 * time.Millisecond
	renewInterval     = time.Second
)

func (a *agent) startTask(ctx context.Context, t enforcer.TaskStart) error {
	err := a.worker.start(ctx, t)
	a.countStart(err)
	if err != nil {
		a.log.Warn("failed to start task", "task", t.ID, "err", err)
	}
	return err
}

// watchWorker adopts the tasks that run on the worker, then polls its task list and renews the leases of the tasks.
func (a *agent) watchWorker(ctx context.Context) {
	if a.settings.WorkerURL == "" {
		return
	}
	a.group.Go(func() { a.runEvery(ctx, renewInterval, a.renewLeases) })
	timer := time.NewTimer(0)
	defer timer.Stop()
	start := time.Now()
	adopted := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if !adopted {
			adopted = a.adopt(ctx, time.Since(start) >= enforcer.AdoptionDelay)
		} else {
			a.poll(ctx)
		}
		next := idlePollInterval
		if !adopted || a.enforcer.ActiveGangs() > 0 {
			next = activePollInterval
		}
		timer.Reset(next)
	}
}

// adopt takes over the tasks on the worker if mayAdopt is set, that is, once the worker accepts no more starts from the
// previous incarnation of the agent. Until then it only renews their leases. It reports whether it took them over.
func (a *agent) adopt(ctx context.Context, mayAdopt bool) bool {
	ctx, cancel := context.WithTimeout(ctx, workerCallTimeout)
	defer cancel()
	list, err := a.worker.tasks(ctx)
	if err != nil {
		a.log.Warn("failed to list tasks of worker", "err", err)
		return false
	}
	if !mayAdopt {
		a.renew(ctx, accountableTaskIDs(list), func(string) {})
		return false
	}
	w, err := a.worker.description(ctx)
	if err != nil {
		a.log.Warn("failed to read worker description", "err", err)
		return false
	}
	a.enforcer.Adopt(w, list)
	a.renewLeases(ctx)
	a.log.Info("adopted tasks of worker", "worker", w.ID, "tasks", len(list))
	return true
}

func accountableTaskIDs(list []enforcer.WorkerTask) []string {
	var ids []string
	for _, t := range list {
		if enforcer.HasValidIdentity(t) && !t.State.Ended() {
			ids = append(ids, t.ID)
		}
	}
	return ids
}

func (a *agent) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, workerCallTimeout)
	defer cancel()
	requestedAt := time.Now()
	list, err := a.worker.tasks(ctx)
	if err != nil {
		return // If the worker stays unreachable, the leases of the tasks expire.
	}
	a.enforcer.Observe(list, requestedAt)
	var usage descriptor.Resources
	for _, t := range list {
		if !t.State.Ended() {
			usage.Cores += t.Usage.Cores
			usage.Memory += t.Usage.Memory
			usage.Accelerators += t.Usage.Accelerators
		}
	}
	a.reports.setUsage(usage)
}

func (a *agent) renewLeases(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, workerCallTimeout)
	defer cancel()
	a.renew(ctx, a.enforcer.TasksToRenew(), a.enforcer.LeaseRenewed)
}

// renew renews all leases concurrently, so that a slow response delays the renewal of no other lease.
func (a *agent) renew(ctx context.Context, ids []string, onRenewed func(id string)) {
	var group sync.WaitGroup
	for _, id := range ids {
		group.Go(func() {
			if a.worker.renew(ctx, id) == nil {
				onRenewed(id)
			}
		})
	}
	group.Wait()
}
