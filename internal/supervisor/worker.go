package supervisor

import (
	"context"
	"sync"
	"time"

	"persimmontrail/internal/enforcer"
	"persimmontrail/pkg/descriptor"
)

const (
	// pollActive is how soon the end of a task is noticed.
	pollActive = 250 * time.Millisecond
	// pollIdle is the period of polling when nothing runs.
	pollIdle = time.Second
	// workerTimeout bounds one poll or renewal; a lease survives two that fail.
	workerTimeout = 1500 * time.Millisecond
	renewEvery    = time.Second
)

func (a *agent) startTask(ctx context.Context, t enforcer.TaskStart) error {
	err := a.worker.start(ctx, t)
	a.countStart(err)
	if err != nil {
		a.log.Warn("Task did not start.", "task", t.ID, "err", err)
	}
	return err
}

// watchWorker adopts what runs on the worker and then follows its task list and renews leases.
func (a *agent) watchWorker(ctx context.Context) {
	if a.settings.WorkerURL == "" {
		return
	}
	a.group.Go(func() { a.every(ctx, renewEvery, a.renewLeases) })
	timer := time.NewTimer(0)
	defer timer.Stop()
	began := time.Now()
	adopted := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if !adopted {
			adopted = a.adopt(ctx, time.Since(began) >= enforcer.AdoptAfter)
		} else {
			a.poll(ctx)
		}
		next := pollIdle
		if !adopted || a.enforcer.Active() > 0 {
			next = pollActive
		}
		timer.Reset(next)
	}
}

// adopt takes over what runs on the worker when it is time, and until then renews the leases of what it finds.
func (a *agent) adopt(ctx context.Context, due bool) bool {
	ctx, cancel := context.WithTimeout(ctx, workerTimeout)
	defer cancel()
	list, err := a.worker.tasks(ctx)
	if err != nil {
		a.log.Warn("Worker does not list its tasks.", "err", err)
		return false
	}
	if !due {
		a.renew(ctx, accountable(list), func(string) {})
		return false
	}
	w, err := a.worker.description(ctx)
	if err != nil {
		a.log.Warn("Worker does not describe itself.", "err", err)
		return false
	}
	a.enforcer.Adopt(w, list)
	a.renewLeases(ctx)
	a.log.Info("Worker is known.", "worker", w.ID, "tasks", len(list))
	return true
}

func accountable(list []enforcer.WorkerTask) []string {
	var ids []string
	for _, t := range list {
		if enforcer.Accountable(t) && !t.State.Ended() {
			ids = append(ids, t.ID)
		}
	}
	return ids
}

func (a *agent) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, workerTimeout)
	defer cancel()
	asked := time.Now()
	list, err := a.worker.tasks(ctx)
	if err != nil {
		return // Leases that are not renewed end the tasks.
	}
	a.enforcer.Observe(list, asked)
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
	ctx, cancel := context.WithTimeout(ctx, workerTimeout)
	defer cancel()
	a.renew(ctx, a.enforcer.Leases(), a.enforcer.Renewed)
}

// renew renews all leases at the same time, so that one slow answer costs no other task its lease.
func (a *agent) renew(ctx context.Context, ids []string, renewed func(id string)) {
	var group sync.WaitGroup
	for _, id := range ids {
		group.Go(func() {
			if a.worker.renew(ctx, id) == nil {
				renewed(id)
			}
		})
	}
	group.Wait()
}
