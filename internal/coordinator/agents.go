package coordinator

import (
	"slices"
	"sync"
	"time"

	"persimmontrail/internal/messenger"
	"persimmontrail/pkg/descriptor"
)

const (
	// silentTimeout is the time without a report after which an agent counts as silent and receives no new work. It is
	// three report intervals.
	silentTimeout = 1500 * time.Millisecond
	// lostTimeout is the time without a report after which an agent counts as lost and its tasks as stopped. An agent
	// that reaches no entry begins to stop its tasks after 30 s, and their checkpoints take at most 4 s.
	lostTimeout = 35 * time.Second
)

// agentState is the last known state of an agent incarnation.
type agentState struct {
	report messenger.Report
	// firstReportAt and lastReportAt are the arrival times of the first and the last stored report.
	firstReportAt, lastReportAt time.Time
	// replaced is true once a newer incarnation has reported the same worker.
	replaced bool
}

func (a *agentState) isSilent(now time.Time) bool { return now.Sub(a.lastReportAt) > silentTimeout }

// isLost reports whether the agent's tasks can be assumed to have stopped or to be reported by its replacement.
func (a *agentState) isLost(now time.Time) bool {
	return a.replaced || now.Sub(a.lastReportAt) > lostTimeout
}

// agentTable holds the agents of the region. Each incarnation of an agent has its own id and counts as a separate
// agent. A report replaces the previous one of its agent only if its sequence number is higher.
type agentTable struct {
	mu sync.Mutex
	// agents is keyed by the id in Report.Agent.
	agents map[string]*agentState
	// byWorker maps each worker to the id of the newest agent that reported it.
	byWorker map[descriptor.WorkerID]string
	// changed holds the ids of the agents that reported or were replaced since the last call of takeChanged.
	changed map[string]bool
	// lastRemovedReportAt is the arrival time of the latest report of all agents that were removed.
	lastRemovedReportAt time.Time
}

// update stores a report unless it is outdated, and returns the report stored for the agent. A report that is not full
// is merged into the previous one. Without a previous one, it is returned but not stored, and resend requests a full
// report. stored reports whether r was stored.
func (t *agentTable) update(r messenger.Report, now time.Time) (merged messenger.Report, stored, resend bool) {
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
func mergeReports(previous, r messenger.Report) messenger.Report {
	if r.Worker == nil {
		r.Worker = previous.Worker
	}
	if r.Endpoint == nil {
		r.Endpoint = previous.Endpoint
	}
	if r.Address == "" {
		r.Address = previous.Address
	}
	if r.FailureDomain == "" {
		r.FailureDomain = previous.FailureDomain
	}
	if r.Region == "" {
		r.Region = previous.Region
	}
	changed := r.Tasks
	r.Tasks = slices.Clone(previous.Tasks)
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

// removeAttempts removes attempts that were acknowledged to an agent from its stored report, because merging a later
// report that holds only changes does not remove them.
func (t *agentTable) removeAttempts(agent string, attempts []messenger.GangAttempt) {
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

// replaceAgentOf assigns a worker to an agent and marks the worker's previous agent as replaced. The caller holds t.mu.
func (t *agentTable) replaceAgentOf(w descriptor.WorkerID, agent string) {
	previous := t.byWorker[w]
	t.byWorker[w] = agent
	if previous == "" || previous == agent {
		return
	}
	if a := t.agents[previous]; a != nil {
		a.replaced = true
		t.changed[previous] = true
	}
}

// takeChanged returns the ids of the agents that reported or were replaced since the last call, in ascending order.
func (t *agentTable) takeChanged() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	ids := make([]string, 0, len(t.changed))
	for id := range t.changed {
		ids = append(ids, id)
	}
	clear(t.changed)
	slices.Sort(ids)
	return ids
}

// get returns a copy of an agent's state, or false if no report of the agent is stored.
func (t *agentTable) get(agent string) (agentState, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.agents[agent]
	if a == nil {
		return agentState{}, false
	}
	return *a, true
}

// ofWorker returns a copy of the state of the newest agent that reported w, or false if none is stored.
func (t *agentTable) ofWorker(w descriptor.WorkerID) (agentState, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.agents[t.byWorker[w]]
	if a == nil {
		return agentState{}, false
	}
	return *a, true
}

// snapshot returns copies of the states of all agents, ordered by id.
func (t *agentTable) snapshot() []agentState {
	t.mu.Lock()
	defer t.mu.Unlock()
	agents := make([]agentState, 0, len(t.agents))
	for _, a := range t.agents {
		agents = append(agents, *a)
	}
	slices.SortFunc(agents, func(a, b agentState) int {
		if a.report.Agent < b.report.Agent {
			return -1
		}
		return 1
	})
	return agents
}

// removeExpired removes the agents that have not reported for twice lostTimeout and returns their ids.
func (t *agentTable) removeExpired(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var removed []string
	for id, a := range t.agents {
		if now.Sub(a.lastReportAt) <= 2*lostTimeout {
			continue
		}
		delete(t.agents, id)
		delete(t.changed, id)
		if a.report.Worker != nil && t.byWorker[a.report.Worker.ID] == id {
			delete(t.byWorker, a.report.Worker.ID)
		}
		removed = append(removed, id)
		if a.lastReportAt.After(t.lastRemovedReportAt) {
			t.lastRemovedReportAt = a.lastReportAt
		}
	}
	return removed
}

// reportingSince returns the agents with workers that have reported since the given time. It also returns whether the
// result is complete: every agent that was present at that time or came later is reporting and has not been replaced.
// An agent that came later knows what a previous incarnation started, because it reads that from its worker before it
// reports the worker. While such an agent has reported no worker, the result is not complete.
func (t *agentTable) reportingSince(since, now time.Time) ([]agentState, bool) {
	agents := t.snapshot()
	t.mu.Lock()
	complete := t.lastRemovedReportAt.Before(since)
	t.mu.Unlock()
	withWorker := agents[:0]
	for _, a := range agents {
		if a.lastReportAt.Before(since) {
			continue
		}
		complete = complete && !a.isSilent(now) && !a.replaced
		switch {
		case a.report.Worker != nil:
			withWorker = append(withWorker, a)
		case !a.firstReportAt.Before(since):
			complete = false
		}
	}
	return withWorker, complete
}
