package main

import (
	"context"

	"persimmontrail/internal/archiver"
	"persimmontrail/internal/caretaker"
	"persimmontrail/platform"
)

func runAgent(ctx context.Context, p *process) error {
	s := p.settings
	store := platform.NewStore(s.StoreAddress, p.metrics)
	worker := platform.NewWorker(s.WorkerAddress)
	c := &caretaker.Caretaker{
		Node: s.Node, HoldRuns: worker.HoldRuns, StartRun: worker.StartRun, StopRun: worker.StopRun, Log: p.log, Metrics: p.metrics,
	}
	go c.Run(ctx)
	leaders, err := p.serve(s.PeerAddress, c.Handler())
	if err != nil {
		return err
	}
	beats, err := p.serve(s.BeatAddress, platform.BeatHandler(c, p.log))
	if err != nil {
		return err
	}
	metrics, err := p.serveMetrics(host(s.PeerAddress))
	if err != nil {
		return err
	}
	go announce(ctx, p, store, archiver.AgentKey(s.Node))
	if err := p.wait(ctx); err != nil {
		return err
	}
	// Polls of the leader wait for news; closing the connections is quicker than waiting for them, and no task ends.
	go func() { _ = leaders.Close() }()
	return shutDown(beats, metrics)
}
