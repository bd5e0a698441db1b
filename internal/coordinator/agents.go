package coordinator

import (
	"slices"
	"sync"
	"time"

	"persimmontrail/internal/messenger"
	"persimmontrail/pkg/descriptor"
)

const (
	// silentTimeout is the time without a report after which an agent receives no new work: three report intervals.
	silentTimeout = 1500 * time.Millisecond
	// lostTimeout is the time without a report after which the tasks of an agent are taken to have stopped. An agent
	// that reaches no entry stops its tasks after 30 s.
	lostTimeout = 35 * time.Second
)

// agentState is the last known state of an agent incarnation.
type agentState struct {
	report messenger.Report
	// firstReportAt and lastReportAt are when the first and the last report arrived.
	firstReportAt, lastReportAt time.Time
	// replaced is set when a newer incarnation has reported the same worker.
	replaced bool
}

func (a *agentState) isSilent(now time.Time) bool { return now.Sub(a.lastReportAt) > silentTimeout }

// isLost reports whether the agent's tasks can be taken to have stopped.
func (a *agentState) isLost(now time.Time) bool {
	return a.replaced || now.Sub(a.lastReportAt) > lostTimeout
}

// agentTable holds the agents of the region, where each incarnation of an agent has an id of its own. A report replaces
// the previous one of its agent only if its sequence number is higher.
type agentTable struct {
	mu sync.Mutex
	// agents is keyed by Report.Agent, as are changed and the values of byWorker.
	agents map[string]*agentState
	// byWorker maps each worker to the agent that reported it last.
	byWorker map[descriptor.WorkerID]string
	// changed holds the agents that reported or were replaced since the last call of takeChanged.
	changed map[string]bool
	// lastRemovedReportAt is when the last report of any removed agent arrived.
	lastRemovedReportAt time.Time
}

// update stores a report and returns the complete report. A report that is not full is merged into the previous one;
// without a previous one, resend requests a full report. fresh is false if the report was not stored.
func (t *agentTable) update(r messenger.Report, now time.Time) (complete messenger.Report, fresh, resend bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.agents == nil {
		t.agents = map[string]*agentState{}
		t.byWorker = map[descriptor.WorkerID]string{}
		t.changed = map[string]bool{}
	}
	a := t.agents[r.Agent]
	switch {
	case a == nil && !r.Full:
		return r, false, true
	case a != nil && r.Sequence <= a.report.Sequence:
		return a.report, false, false
	case a != nil && !r.Full:
		r = mergeReports(a.report, r)
	}
	if a == nil {
		a = &agentState{firstReportAt: now}
		t.agents[r.Agent] = a
	}
	a.report = r
	a.lastReportAt = now
	t.changed[r.Agent] = true
	if r.Worker != nil && !a.replaced {
		t.replaceAgentOf(r.Worker.ID, r.Agent)
	}
	return r, true, false
}

// mergeReports adds the unchanged parts of the previous report to a report that holds only changes.
func mergeReports(before, r messenger.Report) messenger.Report {
	if r.Worker == nil {
		r.Worker = before.Worker
	}
	if r.Endpoint == nil {
		r.Endpoint = before.Endpoint
	}
	if r.Address == "" {
		r.Address = before.Address
	}
	if r.FailureDomain == "" {
		r.FailureDomain = before.FailureDomain
	}
	if r.Region == "" {
		r.Region = before.Region
	}
	changed := r.Tasks
	r.Tasks = slices.Clone(before.Tasks)
	for _, c := range changed {
		i := slices.IndexFunc(r.Tasks, func(o messenger.TaskReport) bool { return isSameAttempt(o.Gang, c.Gang) })
		if i < 0 {
			r.Tasks = append(r.Tasks, c)
		} else {
			r.Tasks[i] = c
		}
	}
	return r
}

func isSameAttempt(a, b messenger.GangAttempt) bool { return a.Key == b.Key && a.Attempt == b.Attempt }

// removeTasks removes attempts from the stored report of an agent. These are ended attempts that the scheduler has
// recorded and the agent may therefore remove as well.
func (t *agentTable) removeTasks(agent string, attempts []messenger.GangAttempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.agents[agent]
	if a == nil || len(attempts) == 0 {
		return
	}
	a.report.Tasks = slices.DeleteFunc(slices.Clone(a.report.Tasks), func(o messenger.TaskReport) bool {
		return slices.ContainsFunc(attempts, func(r messenger.GangAttempt) bool { return isSameAttempt(o.Gang, r) })
	})
}

// replaceAgentOf assigns a worker to an agent and marks the worker's previous agent as replaced.
func (t *agentTable) replaceAgentOf(w descriptor.WorkerID, agent string) {
	before := t.byWorker[w]
	t.byWorker[w] = agent
	if before == "" || before == agent {
		return
	}
	if a := t.agents[before]; a != nil {
		a.replaced = true
		t.changed[before] = true
	}
}

// takeChanged returns the names of the agents that have changed since the last call.
func (t *agentTable) takeChanged() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	names := make([]string, 0, len(t.changed))
	for n := range t.changed {
		names = append(names, n)
	}
	clear(t.changed)
	slices.Sort(names)
	return names
}

// get returns a copy of an agent's state.
func (t *agentTable) get(agent string) (agentState, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.agents[agent]
	if a == nil {
		return agentState{}, false
	}
	return *a, true
}

// ofWorker returns the agent that last reported a worker.
func (t *agentTable) ofWorker(w descriptor.WorkerID) (agentState, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.agents[t.byWorker[w]]
	if a == nil {
		return agentState{}, false
	}
	return *a, true
}

// snapshot returns copies of all agents, ordered by name.
func (t *agentTable) snapshot() []agentState {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]agentState, 0, len(t.agents))
	for _, a := range t.agents {
		list = append(list, *a)
	}
	slices.SortFunc(list, func(a, b agentState) int {
		if a.report.Agent < b.report.Agent {
			return -1
		}
		return 1
	})
	return list
}

// removeExpired removes agents that have been silent for twice lostTimeout and returns their names.
func (t *agentTable) removeExpired(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var removed []string
	for n, a := range t.agents {
		if now.Sub(a.lastReportAt) <= 2*lostTimeout {
			continue
		}
		delete(t.agents, n)
		delete(t.changed, n)
		if a.report.Worker != nil && t.byWorker[a.report.Worker.ID] == n {
			delete(t.byWorker, a.report.Worker.ID)
		}
		removed = append(removed, n)
		if a.lastReportAt.After(t.lastRemovedReportAt) {
			t.lastRemovedReportAt = a.lastReportAt
		}
	}
	return removed
}

// reportingSince returns the agents with workers that have reported since the given time. It also returns whether
// the list is complete: every agent that was present at that time or came later is reporting and has not been
// replaced. An agent that came later knows what a previous incarnation started, because it reads that from its worker
// before it reports the worker.
func (t *agentTable) reportingSince(at, now time.Time) ([]agentState, bool) {
	list := t.snapshot()
	t.mu.Lock()
	complete := t.lastRemovedReportAt.Before(at)
	t.mu.Unlock()
	withWorker := list[:0]
	for _, a := range list {
		if a.lastReportAt.Before(at) {
			continue
		}
		complete = complete && !a.isSilent(now) && !a.replaced
		switch {
		case a.report.Worker != nil:
			withWorker = append(withWorker, a)
		case !a.firstReportAt.Before(at):
			complete = false
		}
	}
	return withWorker, complete
}
