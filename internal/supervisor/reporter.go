package supervisor

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"persimmontrail/internal/messenger"
	"persimmontrail/pkg/descriptor"
)

const (
	reportEvery = 500 * time.Millisecond
	// coalesce joins changes that come together into one report.
	coalesce = 20 * time.Millisecond
	// reportTimeout is longer than the 900 ms after which the transport calls a connection silent.
	reportTimeout = 1200 * time.Millisecond
	// Reports about changes draw on a budget for each entry: with three entries, two periodic and two more reports of
	// about 400 bytes a second stay below 7 KB/s.
	changeBurst  = 10
	changeRefill = 500 * time.Millisecond
	// listFor is how long the entries that an answer names count after the answer.
	listFor = 5 * time.Second
)

// reporters tells every entry of the region what the agent does, one goroutine for each entry.
type reporters struct {
	agent *agent

	mu       sync.Mutex
	ctx      context.Context
	all      map[string]*reporter
	usage    descriptor.Resources
	sequence uint64
}

// reporter reports to one entry.
type reporter struct {
	address string
	wake    chan struct{}
	cancel  context.CancelFunc

	// The fields below are guarded by reporters.mu.

	// acked is the version that the entry has answered; full is set until a full report was answered.
	acked    uint64
	full     bool
	endpoint messenger.EndpointReport
	// named are the entries that the latest answer named, at the time heard.
	named []string
	heard time.Time
}

func (rs *reporters) start(ctx context.Context) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.ctx = ctx
	rs.all = make(map[string]*reporter)
	for _, address := range rs.agent.settings.Entries {
		rs.add(address)
	}
}

// add starts reporting to an entry. The lock is held.
func (rs *reporters) add(address string) {
	if rs.all[address] != nil || rs.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(rs.ctx)
	r := &reporter{address: address, wake: make(chan struct{}, 1), cancel: cancel, full: true}
	rs.all[address] = r
	rs.agent.group.Go(func() { rs.run(ctx, r) })
}

func (rs *reporters) wake() {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for _, r := range rs.all {
		select {
		case r.wake <- struct{}{}:
		default:
		}
	}
}

// entries returns the addresses that the agent reports to.
func (rs *reporters) entries() []string {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return slices.Sorted(maps.Keys(rs.all))
}

func (rs *reporters) setUsage(u descriptor.Resources) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.usage = u
}

// run reports in each period, and soon after a change within the budget.
func (rs *reporters) run(ctx context.Context, r *reporter) {
	budget := changeBurst
	refill := time.NewTicker(changeRefill)
	defer refill.Stop()
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		wake := r.wake
		if budget == 0 {
			wake = nil
		}
		select {
		case <-ctx.Done():
			return
		case <-refill.C:
			budget = min(budget+1, changeBurst)
			continue
		case <-next.C:
		case <-wake:
			budget--
			if !pause(ctx, coalesce) {
				return
			}
			drain(r.wake)
		}
		next.Reset(reportEvery)
		rs.send(ctx, r)
	}
}

func drain(c chan struct{}) {
	select {
	case <-c:
	default:
	}
}

func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// compose builds the next report for r, with only what changed since the last answered one unless r needs all.
func (rs *reporters) compose(r *reporter) (messenger.Report, uint64) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	a := rs.agent
	since := r.acked
	if r.full {
		since = 0
	}
	s := a.enforcer.Snapshot(since)
	rs.sequence++
	report := messenger.Report{
		Agent:    a.id,
		Sequence: rs.sequence,
		State:    messenger.AgentServing,
		Tasks:    s.Tasks,
		Usage:    rs.usage,
		Revision: s.Revision,
		Full:     r.full,
	}
	if s.Leaving {
		report.State = messenger.AgentLeaving
	}
	if s.Endpoint != nil && (r.full || *s.Endpoint != r.endpoint) {
		report.Endpoint = s.Endpoint
	}
	if r.full || s.WorkerVersion > r.acked {
		report.Worker = s.Worker
	}
	if r.full {
		report.Address = a.address
		report.FailureDomain = a.settings.FailureDomain
		report.Region = a.settings.Region
	}
	return report, s.Version
}

// send makes one report and applies the answer.
func (rs *reporters) send(ctx context.Context, r *reporter) {
	report, version := rs.compose(r)
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var answer messenger.ReportAnswer
	sent := time.Now()
	err := rs.agent.settings.Call(ctx, r.address, messenger.KindReport, report, &answer)
	rs.agent.countReport(err)
	if err != nil {
		rs.follow()
		return
	}
	e := rs.agent.enforcer
	e.Heard(sent)
	e.SetPermit(answer.Permit, sent)
	e.ObserveEpoch(answer.Epoch)
	e.Acknowledge(answer.Acknowledged)
	rs.answered(r, report, version, answer)
	rs.follow()
}

func (rs *reporters) answered(r *reporter, report messenger.Report, version uint64, answer messenger.ReportAnswer) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	r.heard = time.Now()
	r.named = answer.Entries
	r.full = answer.Resend
	if answer.Resend {
		return
	}
	r.acked = version
	if report.Endpoint != nil {
		r.endpoint = *report.Endpoint
	}
}

// follow keeps one reporter for each entry that recent answers name, and for the entries of the settings when no answer is recent.
func (rs *reporters) follow() {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	var want []string
	for _, r := range rs.all {
		if time.Since(r.heard) < listFor {
			want = append(want, r.named...)
		}
	}
	if len(want) == 0 {
		want = rs.agent.settings.Entries
	} else {
		for address, r := range rs.all {
			if !slices.Contains(want, address) {
				r.cancel()
				delete(rs.all, address)
			}
		}
	}
	for _, address := range want {
		rs.add(address)
	}
}

// flush reports until every entry that answers has taken the present state, or ctx ends.
func (rs *reporters) flush(ctx context.Context) {
	want := rs.agent.enforcer.Snapshot(^uint64(0)).Version
	for rs.behind(want) {
		rs.wake()
		if !pause(ctx, 2*coalesce) {
			return
		}
	}
}

func (rs *reporters) behind(version uint64) bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for _, r := range rs.all {
		if r.acked < version && time.Since(r.heard) < listFor {
			return true
		}
	}
	return false
}
