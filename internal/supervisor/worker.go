package supervisor

import (
	"context"
	"sync"
	"time"

	"persimmontrail/internal/enforcer"
	"persimmontrail/pkg/descriptor"
)

const (
	// activePollInterval is the polling interval while a gang attempt has not ended, and until the tasks on the worker are
	// adopted. It bounds the delay until the end of a task is noticed.
	activePollInterval = 250 * time.Millisecond
	// idlePollInterval is the polling interval at all other times.
	idlePollInterval = time.Second
	// workerCallTimeout bounds one poll, one adoption or one renewal of all leases. It and renewInterval are short
	// enough for a lease to survive two failed renewals in a row.
	workerCallTimeout = 1500 * time.Millisecond
	renewInterval     = time.Second
)

// startTask starts a task on the worker and counts the result.
func (a *agent) startTask(ctx context.Context, t enforcer.TaskStart) error {
	err := a.worker.start(ctx, t)
	a.countStart(err)
	if err != nil {
		a.log.Warn("failed to start task", "task", t.ID, "err", err)
	}
	return err
}

// watchWorker adopts the tasks that are already on the worker, then polls the worker's task list. It renews the leases
// of the tasks throughout.
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

// adopt takes over the tasks on the worker if mayAdopt is set, and otherwise only renews their leases. mayAdopt must
// not be set while the worker may still accept starts from the previous incarnation of the agent. adopt reports whether
// it took the tasks over.
func (a *agent) adopt(ctx context.Context, mayAdopt bool) bool {
	ctx, cancel := context.WithTimeout(ctx, workerCallTimeout)
	defer cancel()
	tasks, err := a.worker.tasks(ctx)
	if err != nil {
		a.log.Warn("failed to list tasks of worker", "err", err)
		return false
	}
	if !mayAdopt {
		a.renew(ctx, renewableTaskIDs(tasks), func(string) {})
		return false
	}
	w, err := a.worker.description(ctx)
	if err != nil {
		a.log.Warn("failed to read worker description", "err", err)
		return false
	}
	a.enforcer.Adopt(w, tasks)
	a.renewLeases(ctx)
	a.log.Info("adopted tasks of worker", "worker", w.ID, "tasks", len(tasks))
	return true
}

func renewableTaskIDs(tasks []enforcer.WorkerTask) []string {
	var ids []string
	for _, t := range tasks {
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
	tasks, err := a.worker.tasks(ctx)
	if err != nil {
		return // If the worker stays unreachable, the leases of the tasks expire.
	}
	a.enforcer.ObserveTasks(tasks, requestedAt)
	var usage descriptor.Resources
	for _, t := range tasks {
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

// renew renews all leases concurrently, so that a slow response delays the renewal of no other lease. It calls
// onRenewed, also concurrently, for each lease that was renewed.
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
