package coordinator

import (
	"context"
	"fmt"
	"testing"
	"time"

	"persimmontrail/internal/messenger"
	"persimmontrail/pkg/descriptor"
)

// BenchmarkReport measures the cost of handling one agent report, without transport, in a region of 850 workers. It
// includes one sweep of the scheduler for each round of reports, since both happen every 500 ms.
func BenchmarkReport(b *testing.B) {
	e := testEntry(newMemoryStore(), "e", func(context.Context, string, messenger.Kind, any, any) error { return nil })
	const agents = 850
	report := func(i int, sequence uint64, full bool) messenger.Report {
		name := fmt.Sprint("agent-", i)
		r := messenger.Report{Agent: name, Sequence: sequence, Full: full, State: messenger.AgentServing}
		if full {
			r.Worker = &descriptor.Worker{ID: descriptor.WorkerID(name), Rack: descriptor.RackID(fmt.Sprint("rack-", i/3)), FailureDomain: "d", Region: "r", Cores: 64, Memory: 128_000, Accelerators: 8}
			r.Endpoint = &messenger.EndpointReport{ID: descriptor.EndpointID(name), Service: "s", Slots: 8, Healthy: true}
		}
		return r
	}
	for i := range agents {
		e.handleReport(report(i, 1, true))
	}
	e.duty.activate(epochOfTerm(1), true)
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		e.handleReport(report(n%agents, uint64(2+n/agents), false))
		n++
		if n%agents == 0 {
			e.duty.lastSweepAt = time.Time{}
			e.duty.step(context.Background())
		}
	}
	e.duty.endTerm()
}
