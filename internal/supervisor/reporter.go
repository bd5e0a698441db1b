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
	reportInterval = 500 * time.Millisecond
	// coalesceDelay is the time between a change and the report about it, so that one report covers several changes.
	coalesceDelay = 20 * time.Millisecond
	// reportTimeout exceeds the 900 ms after which the transport considers a connection dead.
	reportTimeout = 1200 * time.Millisecond
	// Reports about changes are limited by a token bucket per entry: changeReportBurst is its size, and one token is added
	// per changeReportInterval. A report takes about 400 bytes. With three entries that each get two periodic reports and
	// two about changes per second, the agent sends less than 7 KB/s.
	changeReportBurst    = 10
	changeReportInterval = 500 * time.Millisecond
	// answerValidity is how long after its latest answer an entry counts as reachable, and the list of entries in that
	// answer as current.
	answerValidity = 5 * time.Second
)

// reporterSet reports the state of the agent to every entry of the region. Each entry has a goroutine of its own.
type reporterSet struct {
	agent *agent

	mu        sync.Mutex
	ctx       context.Context
	byAddress map[string]*reporter
	// usage is the total usage of the tasks on the worker.
	usage descriptor.Resources
	// sequence numbers the reports to all entries.
	sequence uint64
}

// reporter holds the state of reporting to one entry.
type reporter struct {
	address string
	wake    chan struct{}
	cancel  context.CancelFunc

	// The fields below are guarded by reporterSet.mu.

	// ackedVersion is the version of the enforcer's state in the latest report that the entry has acknowledged, that is,
	// answered without asking for a full report.
	ackedVersion uint64
	// needsFull is set until the entry has acknowledged a full report, and again when it asks for one.
	needsFull bool
	// ackedEndpoint is the state of the endpoint in the latest acknowledged report that held one.
	ackedEndpoint messenger.EndpointReport
	// entries is the list of entries in the latest answer, which was received at answeredAt.
	entries    []string
	answeredAt time.Time
}

func (rs *reporterSet) start(ctx context.Context) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.ctx = ctx
	rs.byAddress = make(map[string]*reporter)
	for _, address := range rs.agent.settings.Entries {
		rs.add(address)
	}
}

// add starts reporting to an entry unless a reporter for it exists or the agent has ended. The caller holds rs.mu.
func (rs *reporterSet) add(address string) {
	if rs.byAddress[address] != nil || rs.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(rs.ctx)
	r := &reporter{address: address, wake: make(chan struct{}, 1), cancel: cancel, needsFull: true}
	rs.byAddress[address] = r
	rs.agent.group.Go(func() { rs.run(ctx, r) })
}

// wake requests a report to each entry.
func (rs *reporterSet) wake() {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for _, r := range rs.byAddress {
		select {
		case r.wake <- struct{}{}:
		default:
		}
	}
}

// entries returns the addresses of the entries that the agent reports to.
func (rs *reporterSet) entries() []string {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return slices.Sorted(maps.Keys(rs.byAddress))
}

func (rs *reporterSet) setUsage(u descriptor.Resources) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.usage = u
}

// run sends reports to one entry, periodically and shortly after each change. While the token bucket is empty, it sends
// only the periodic ones.
func (rs *reporterSet) run(ctx context.Context, r *reporter) {
	tokens := changeReportBurst
	refill := time.NewTicker(changeReportInterval)
	defer refill.Stop()
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		wake := r.wake
		if tokens == 0 {
			wake = nil
		}
		select {
		case <-ctx.Done():
			return
		case <-refill.C:
			tokens = min(tokens+1, changeReportBurst)
			continue
		case <-next.C:
		case <-wake:
			tokens--
			if !sleep(ctx, coalesceDelay) {
				return
			}
			clearSignal(r.wake)
		}
		next.Reset(reportInterval)
		rs.send(ctx, r)
	}
}

func clearSignal(c chan struct{}) {
	select {
	case <-c:
	default:
	}
}

// sleep waits for d and returns true, or returns false once ctx ends.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// buildReport returns the next report for r, and the version of the enforcer's state in it. Unless r needs a full
// report, it contains only the changes since the last acknowledged one.
func (rs *reporterSet) buildReport(r *reporter) (messenger.Report, uint64) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	a := rs.agent
	since := r.ackedVersion
	if r.needsFull {
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
		Full:     r.needsFull,
	}
	if s.Leaving {
		report.State = messenger.AgentLeaving
	}
	if s.Endpoint != nil && (r.needsFull || *s.Endpoint != r.ackedEndpoint) {
		report.Endpoint = s.Endpoint
	}
	if r.needsFull || s.WorkerVersion > r.ackedVersion {
		report.Worker = s.Worker
	}
	if r.needsFull {
		report.Address = a.address
		report.FailureDomain = a.settings.FailureDomain
		report.Region = a.settings.Region
	}
	return report, s.Version
}

// send sends one report and processes the answer.
func (rs *reporterSet) send(ctx context.Context, r *reporter) {
	report, version := rs.buildReport(r)
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var answer messenger.ReportAnswer
	sent := time.Now()
	err := rs.agent.settings.Call(ctx, r.address, messenger.KindReport, report, &answer)
	rs.agent.countReport(err)
	if err != nil {
		rs.updateReporters()
		return
	}
	e := rs.agent.enforcer
	e.ReportAnswered(sent)
	e.SetPermit(answer.Permit, sent)
	e.ObserveEpoch(answer.Epoch)
	e.Acknowledge(answer.Acknowledged)
	rs.recordAnswer(r, report, version, answer)
	rs.updateReporters()
}

// recordAnswer updates r after an answer to a report with the given version of the enforcer's state.
func (rs *reporterSet) recordAnswer(r *reporter, report messenger.Report, version uint64, answer messenger.ReportAnswer) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	r.answeredAt = time.Now()
	r.entries = answer.Entries
	r.needsFull = answer.Resend
	if answer.Resend {
		return
	}
	r.ackedVersion = version
	if report.Endpoint != nil {
		r.ackedEndpoint = *report.Endpoint
	}
}

// updateReporters starts a reporter for each entry that is listed in a current answer, that is, one received within
// answerValidity, and stops all others. If no current answer lists an entry, it keeps the existing reporters and adds
// the entries from the settings.
func (rs *reporterSet) updateReporters() {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	var addresses []string
	for _, r := range rs.byAddress {
		if time.Since(r.answeredAt) < answerValidity {
			addresses = append(addresses, r.entries...)
		}
	}
	if len(addresses) == 0 {
		addresses = rs.agent.settings.Entries
	} else {
		for address, r := range rs.byAddress {
			if !slices.Contains(addresses, address) {
				r.cancel()
				delete(rs.byAddress, address)
			}
		}
	}
	for _, address := range addresses {
		rs.add(address)
	}
}

// flush sends reports until every entry that has answered within answerValidity has acknowledged the state at the time
// of the call, or until ctx ends.
func (rs *reporterSet) flush(ctx context.Context) {
	version := rs.agent.enforcer.Snapshot(^uint64(0)).Version // The highest version, so that the snapshot contains no gangs.
	for rs.lacksAcknowledgement(version) {
		rs.wake()
		if !sleep(ctx, 2*coalesceDelay) {
			return
		}
	}
}

// lacksAcknowledgement reports whether an entry that has answered within answerValidity has not acknowledged version.
func (rs *reporterSet) lacksAcknowledgement(version uint64) bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for _, r := range rs.byAddress {
		if r.ackedVersion < version && time.Since(r.answeredAt) < answerValidity {
			return true
		}
	}
	return false
}
