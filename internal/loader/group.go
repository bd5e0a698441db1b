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

// Group describes agents that share one process.
type Group struct {
	// Keys are the key files of the agents.
	Keys    issuer.Files
	Entries []string
	Region  descriptor.RegionID
	Agents  []GroupAgent
}

// GroupAgent is one agent of a group.
type GroupAgent struct {
	Name          string
	FailureDomain descriptor.FailureDomainID
	WorkerURL     string
}

// groupStarted is the first line of a group's output, for each agent of the group its HTTP address.
type groupStarted struct {
	HTTPAddress, Address string
	Agents               []string
}

// groupRevision is written when all agents of the group hold a revision.
type groupRevision struct {
	Revision descriptor.Revision
	At       time.Time
}

// RunGroup runs the agents that in describes until ctx ends. It writes one line when all listen, and one for each
// revision of the configuration that all of them hold.
func RunGroup(ctx context.Context, in io.Reader, out io.Writer) error {
	var g Group
	if err := json.NewDecoder(in).Decode(&g); err != nil {
		return fmt.Errorf("description of the group: %w", err)
	}
	keys, err := issuer.Load(g.Keys)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var running sync.WaitGroup
	defer running.Wait()
	failed := make(chan error, len(g.Agents))
	ready := make(chan string, len(g.Agents))
	watch := &revisionWatch{held: map[string]descriptor.Revision{}, want: len(g.Agents), out: json.NewEncoder(out)}
	for _, a := range g.Agents {
		s := supervisor.Settings{
			Name: a.Name, Listen: loopback, HTTPListen: loopback, Entries: g.Entries,
			FailureDomain: a.FailureDomain, Region: g.Region, WorkerURL: a.WorkerURL,
			Ready: func(_, address string) { ready <- address },
		}
		client := s.Connect(keys.ServerTLS(), keys.ClientTLS(messenger.RoleEntry))
		s.Call = watch.wrap(a.Name, client.Call)
		running.Go(func() {
			defer client.Close()
			failed <- supervisor.Run(ctx, s)
		})
	}
	started := groupStarted{HTTPAddress: loopback, Address: loopback}
	for range g.Agents {
		select {
		case address := <-ready:
			started.Agents = append(started.Agents, address)
		case err := <-failed:
			return err
		}
	}
	watch.mu.Lock()
	err = watch.out.Encode(started)
	watch.mu.Unlock()
	if err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// callFunc is the signature of supervisor.Settings.Call.
type callFunc = func(ctx context.Context, address string, kind messenger.Kind, request, answer any) error

// revisionWatch notices when all agents of a group hold a revision.
type revisionWatch struct {
	mu   sync.Mutex
	held map[string]descriptor.Revision
	told descriptor.Revision
	want int
	out  *json.Encoder
}

// wrap observes the answers to an agent's reports.
func (w *revisionWatch) wrap(name string, call callFunc) callFunc {
	return func(ctx context.Context, address string, kind messenger.Kind, request, answer any) error {
		err := call(ctx, address, kind, request, answer)
		if a, ok := answer.(*messenger.ReportAnswer); ok && err == nil {
			w.observe(name, a.Permit.Revision)
		}
		return err
	}
}

func (w *revisionWatch) observe(name string, revision descriptor.Revision) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if revision <= w.held[name] {
		return
	}
	w.held[name] = revision
	lowest := revision
	for _, r := range w.held {
		lowest = min(lowest, r)
	}
	if len(w.held) == w.want && lowest > w.told {
		w.told = lowest
		_ = w.out.Encode(groupRevision{Revision: lowest, At: time.Now()})
	}
}
