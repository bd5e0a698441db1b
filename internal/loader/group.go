package loader

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"

	"persimmontrail/internal/issuer"
	"persimmontrail/internal/messenger"
	"persimmontrail/internal/supervisor"
	"persimmontrail/pkg/descriptor"
)

// AgentGroup describes agents that share one process.
type AgentGroup struct {
	// Keys are the TLS key files that all agents of the group use.
	Keys issuer.Files
	// Entries are the addresses, host:port, at which agents call the entries.
	Entries []string
	Region  descriptor.RegionID
	Agents  []GroupAgent
}

// GroupAgent is one agent of a group. Its name must be unique in the group.
type GroupAgent struct {
	Name          string
	FailureDomain descriptor.FailureDomainID
	WorkerURL     string
}

// processStarted is the first line that a process of the deployment writes.
type processStarted struct {
	// HTTPAddress and Address are the addresses of a single entry or agent. A group sets them to placeholders.
	HTTPAddress, Address string
	// Agents are the HTTP addresses of the agents of a group, in the order in which they became ready. A single entry or agent
	// does not write them.
	Agents []string
}

// groupRevision is the line that a group writes when all of its agents hold a revision of the configuration or a later one.
// Revisions may be skipped.
type groupRevision struct {
	Revision descriptor.Revision
	At       time.Time
}

// RunAgentGroup runs the agents of the group that it reads from in, as the JSON of an AgentGroup, until ctx ends. It writes one
// line when all agents listen, and one whenever the lowest revision of the configuration that any of them holds rises. An agent
// that fails before all listen ends the group; a later failure does not.
func RunAgentGroup(ctx context.Context, in io.Reader, out io.Writer) error {
	var g AgentGroup
	if err := json.NewDecoder(in).Decode(&g); err != nil {
		return fmt.Errorf("decode group description: %w", err)
	}
	keys, err := issuer.Load(g.Keys)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var agents sync.WaitGroup
	defer agents.Wait()
	runErrors := make(chan error, len(g.Agents))
	ready := make(chan string, len(g.Agents))
	tracker := &revisionTracker{revisions: map[string]descriptor.Revision{}, agentCount: len(g.Agents), out: json.NewEncoder(out)}
	for _, a := range g.Agents {
		s := supervisor.Settings{
			Name: a.Name, Listen: loopbackAddress, HTTPListen: loopbackAddress, Entries: g.Entries,
			FailureDomain: a.FailureDomain, Region: g.Region, WorkerURL: a.WorkerURL,
			Ready: func(_, address string) { ready <- address },
		}
		client := s.SetTransport(keys.ServerTLS(), keys.ClientTLS(messenger.RoleEntry))
		s.Call = tracker.wrapCall(a.Name, client.Call)
		agents.Go(func() {
			defer client.Close()
			runErrors <- supervisor.Run(ctx, s)
		})
	}
	started := processStarted{HTTPAddress: loopbackAddress, Address: loopbackAddress}
	for range g.Agents {
		select {
		case address := <-ready:
			started.Agents = append(started.Agents, address)
		case err := <-runErrors:
			return err
		}
	}
	tracker.mu.Lock()
	err = tracker.out.Encode(started)
	tracker.mu.Unlock()
	if err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// callFunc is the signature of supervisor.Settings.Call.
type callFunc = func(ctx context.Context, address string, kind messenger.Kind, request, answer any) error

// revisionTracker detects when all agents of a group hold a revision of the configuration, and writes a line for it.
type revisionTracker struct {
	// mu guards revisions, lastWritten and out.
	mu sync.Mutex
	// revisions maps the names of agents to the latest revisions that they hold.
	revisions map[string]descriptor.Revision
	// lastWritten is the last revision that was written to out, or 0.
	lastWritten descriptor.Revision
	agentCount  int
	out         *json.Encoder
}

// wrapCall returns a function that works as call and records the revisions in the answers to the reports of the named agent.
func (t *revisionTracker) wrapCall(name string, call callFunc) callFunc {
	return func(ctx context.Context, address string, kind messenger.Kind, request, answer any) error {
		err := call(ctx, address, kind, request, answer)
		if a, ok := answer.(*messenger.ReportAnswer); ok && err == nil {
			t.observe(name, a.Permit.Revision)
		}
		return err
	}
}

// observe records the revision that an agent holds, and writes a line if this raises the lowest revision of all agents.
func (t *revisionTracker) observe(name string, revision descriptor.Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if revision <= t.revisions[name] {
		return
	}
	t.revisions[name] = revision
	lowest := revision
	for _, r := range t.revisions {
		lowest = min(lowest, r)
	}
	if len(t.revisions) == t.agentCount && lowest > t.lastWritten {
		t.lastWritten = lowest
		_ = t.out.Encode(groupRevision{Revision: lowest, At: time.Now()})
	}
}
