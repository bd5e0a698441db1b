package main

import (
	"context"
	"errors"
	"net/http"
	"time"

	"persimmontrail/internal/admitter"
	"persimmontrail/internal/archiver"
	"persimmontrail/internal/connector"
	"persimmontrail/internal/leader"
	"persimmontrail/internal/planner"
	"persimmontrail/platform"
)

const (
	// balancerDelay is the time for which the load balancer may still send new connections after the process reports that
	// it is not ready: two health checks one second apart, and their latency.
	balancerDelay = 2600 * time.Millisecond
	// shutdownTimeout limits how long requests in progress may take after balancerDelay; callers wait 3 s by default. Both
	// times and the end of the leader's term fit into the platform's grace period of 6 s even on a slow VM.
	shutdownTimeout = 2300 * time.Millisecond
	// followerBatchDelay is the time for which an entry that does not lead collects changes before the next watch. The
	// leader writes up to twenty times a second, and without the delay each write would cost the entry a store call.
	followerBatchDelay = 250 * time.Millisecond
	// leaderKeyWatchTimeout is how long a watch of the leader key waits. The key rarely changes, and a connection that has
	// gone silent only delays a takeover until the mirror of all documents shows the change.
	leaderKeyWatchTimeout = 10 * time.Second
	// entryDialTimeout limits the time to connect to another entry. The delay between regions is 24 ms.
	entryDialTimeout = 400 * time.Millisecond
	// announceRetryPause is the pause between two tries to write the process's address to the store.
	announceRetryPause = 300 * time.Millisecond
)

func runEntry(ctx context.Context, p *process) error {
	nodeSettings := p.settings
	store := platform.NewStore(nodeSettings.StoreAddress, p.metrics)
	plans := &admitter.PlanCache{Decode: platform.DecodePlan, Log: p.log}
	documents := &archiver.Mirror{Store: store, Prefix: archiver.Prefix, Log: p.log}
	leaderKey := &archiver.Mirror{Store: store, Prefix: archiver.LeaderKey, WatchTimeout: leaderKeyWatchTimeout, Log: p.log}
	operatorKeys := &archiver.Mirror{Store: store, Prefix: platform.OperatorPrefix, WatchTimeout: admitter.PlanWatchTimeout, Log: p.log}
	scheduler := &leader.Leader{
		Node: nodeSettings.Node, Address: p.announcedAddress, Store: store, Mirror: documents, KeyMirror: leaderKey,
		Settings: func() leader.Settings {
			plan, _ := plans.Current()
			settings := leader.Settings{ExcludedDomains: platform.ExcludedDomains(operatorKeys)}
			if plan != nil {
				settings.Accounts = plan.Accounts
			}
			return settings
		},
		Limits: planner.Limits{
			DistanceFactor: nodeSettings.DistanceFactor, CheckpointInterval: nodeSettings.CheckpointInterval, RestoreTime: nodeSettings.RestoreTime,
			StopGrace: nodeSettings.StopGrace, ReclaimTime: nodeSettings.ReclaimTime,
		},
		MaxHold: nodeSettings.MaxHold, HoldSlack: platform.HoldSlack(nodeSettings), StartsUnbounded: nodeSettings.OrdersInHeartbeats,
		EndedRetention: nodeSettings.EndedRetention + nodeSettings.EndedRetention/2, LearnRunTimes: p.learnRunTimes,
		PreferFastWorkers: p.preferFastWorkers, Log: p.log, Metrics: p.metrics,
	}
	documents.Changed, leaderKey.Changed = scheduler.DocumentChanged, scheduler.KeyChanged
	documents.BatchDelay = func() time.Duration {
		if scheduler.IsLeader() {
			return 0
		}
		return followerBatchDelay
	}
	operatorKeys.Changed = func(e archiver.Event) {
		if e.Key == platform.ConfigKey && !e.Removed {
			plans.Update(e.Item)
		} else if e.Key != platform.ConfigKey {
			p.log.Info("operator key changed", "key", e.Key, "revision", e.Revision, "removed", e.Removed)
		}
		scheduler.SettingsChanged()
	}
	admission := &admitter.Admitter{
		Node: nodeSettings.Node, Store: store, Documents: documents, OperatorKeys: operatorKeys, Plan: plans, PlanKey: platform.ConfigKey,
		PlanConfirmedAt: operatorKeys.Confirmed, Entries: connector.Connector{DialTimeout: entryDialTimeout, MaxIdle: 4},
		StoreWrites: nodeSettings.StoreWrites, EndedRetention: nodeSettings.EndedRetention, Log: p.log, Metrics: p.metrics,
	}
	ingress := &platform.Ingress{Serve: admission.Serve, Precheck: admission.Precheck, Plan: plans, Log: p.log}

	// Scheduling ends first when the process stops; requests are served until the end.
	schedulerCtx, stopScheduler := context.WithCancel(ctx)
	defer stopScheduler()
	servingCtx, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	go documents.Run(servingCtx)
	go leaderKey.Run(schedulerCtx)
	go operatorKeys.Run(servingCtx)
	go admission.PollPeers(servingCtx)
	go announce(servingCtx, p, store, archiver.EntryKey(nodeSettings.Node))
	schedulerDone := make(chan struct{})
	go func() {
		defer close(schedulerDone)
		scheduler.Run(schedulerCtx)
	}()

	peerServer, err := p.serve(entryPeerPort, nodeSettings.PeerAddress, admission.PeerHandler())
	if err != nil {
		return err
	}
	callerServer, err := p.serve(callerPort, nodeSettings.CallerAddress, ingress)
	if err != nil {
		return err
	}
	readinessServer, err := p.serve(readinessPort, nodeSettings.ReadyAddress, ingress.ReadyHandler())
	if err != nil {
		return err
	}
	metricsServer, err := p.serveMetrics(hostOf(nodeSettings.PeerAddress))
	if err != nil {
		return err
	}
	if err := p.wait(ctx); err != nil {
		return err
	}
	ingress.Stopping.Store(true)
	callerServer.SetKeepAlivesEnabled(false)
	time.Sleep(balancerDelay)
	// The leader's term ends during the delay. If it has not, because the store does not answer, its lease expires by
	// itself.
	select {
	case <-schedulerDone:
	default:
		p.log.Warn("leader term not ended before shutdown")
	}
	return shutDown(callerServer, peerServer, readinessServer, metricsServer)
}

// shutDown shuts the servers down and waits up to shutdownTimeout for the requests in progress.
func shutDown(servers ...*http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	var errs []error
	for _, s := range servers {
		errs = append(errs, s.Shutdown(ctx))
	}
	return errors.Join(errs...)
}

// announce writes the process's address to the store unless it is stored already, and retries until that succeeds or
// ctx ends.
func announce(ctx context.Context, p *process, store *archiver.Store, key string) {
	member := archiver.Encode(archiver.Member{Node: p.settings.Node, Address: p.announcedAddress})
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		i, err := store.Get(callCtx, key)
		if err == nil && string(i.Value) == string(member) {
			cancel()
			return
		}
		if err == nil || errors.Is(err, archiver.ErrNotFound) {
			_, err = store.Commit(callCtx, archiver.Txn{Put: []archiver.Write{{Key: key, Value: member}}})
		}
		cancel()
		if err == nil {
			p.log.Info("process address announced", "key", key, "address", p.announcedAddress)
			return
		}
		p.log.Warn("failed to announce process address", "key", key, "err", err)
		select {
		case <-ctx.Done():
		case <-time.After(announceRetryPause):
		}
	}
}
