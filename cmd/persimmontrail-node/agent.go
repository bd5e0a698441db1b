package main

import (
	"context"

	"persimmontrail/internal/agent"
	"persimmontrail/internal/archiver"
	"persimmontrail/platform"
)

func runAgent(ctx context.Context, p *process) error {
	nodeSettings := p.settings
	store := platform.NewStore(nodeSettings.StoreAddress, p.metrics)
	workerAgent := &agent.Agent{Node: nodeSettings.Node, Log: p.log, Metrics: p.metrics}
	var carrier *platform.BeatCarrier
	if nodeSettings.OrdersInHeartbeats {
		carrier = &platform.BeatCarrier{Address: nodeSettings.WorkerAddress}
		workerAgent.HoldAttempts, workerAgent.StartAttempt, workerAgent.StopAttempt = carrier.HoldAttempts, carrier.StartAttempt, carrier.StopAttempt
	} else {
		worker := platform.NewWorkerClient(nodeSettings.WorkerAddress)
		workerAgent.HoldAttempts, workerAgent.StartAttempt, workerAgent.StopAttempt = worker.HoldAttempts, worker.StartAttempt, worker.StopAttempt
	}
	go workerAgent.Run(ctx)
	peerServer, err := p.serve(leaderPort, nodeSettings.PeerAddress, workerAgent.Handler())
	if err != nil {
		return err
	}
	heartbeatServer, err := p.serve(heartbeatPort, nodeSettings.HeartbeatAddress, platform.HeartbeatHandler(workerAgent, carrier, p.log))
	if err != nil {
		return err
	}
	metricsServer, err := p.serveMetrics(hostOf(nodeSettings.PeerAddress))
	if err != nil {
		return err
	}
	go announce(ctx, p, store, archiver.AgentKey(nodeSettings.Node))
	if err := p.wait(ctx); err != nil {
		return err
	}
	// The leader's polls stay open until there is a change. Closing their connections is quicker than waiting for them,
	// and no task ends because of it.
	go func() { _ = peerServer.Close() }()
	return shutDown(heartbeatServer, metricsServer)
}
