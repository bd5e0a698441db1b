// Command persimmontrail-node runs the system's processes on the platform: "entry" serves callers and can become the
// scheduling leader, "agent" runs beside each worker and passes the leader's orders to it. The settings come from the
// platform's settings file, except for the address that the process announces to the others, which a flag or an
// environment variable can set.
package main

import (
	"cmp"
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"syscall"

	"github.com/charmbracelet/log"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"persimmontrail/internal/limiter"
	"persimmontrail/internal/recorder"
	"persimmontrail/platform"
)

const (
	// exitFailure is the exit code after all errors other than those of exitInvalidSettings.
	exitFailure = 1
	// exitInvalidSettings is also the code after the help text, which is printed if no subcommand is given.
	exitInvalidSettings = 2
)

// metricsPort is the port of the metrics server. The deployment file names the same port.
const metricsPort = 9464

// runtimeMemoryShare is the part of the VM's memory at which the runtime collects garbage more often.
const runtimeMemoryShare = 0.85

func main() { os.Exit(run()) }

func run() int {
	// Until this call a SIGHUP ends the process, so it comes first.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	out := recorder.NewWriter(os.Stdout)
	defer out.Close()
	root := &ffcli.Command{
		Name:       "persimmontrail-node",
		ShortUsage: "persimmontrail-node entry|agent",
		FlagSet:    flag.NewFlagSet("persimmontrail-node", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{
			command("entry", "serve callers and take part in the leader election", out, hangups, runEntry),
			command("agent", "run beside the worker on the same VM", out, hangups, runAgent),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
	err := root.ParseAndRun(context.Background(), os.Args[1:])
	var invalid settingsError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &invalid) || errors.Is(err, flag.ErrHelp):
		fmt.Fprintln(os.Stderr, err)
		return exitInvalidSettings
	}
	fmt.Fprintln(os.Stderr, err)
	return exitFailure
}

// settingsError is an error for which the process exits with exitInvalidSettings.
type settingsError struct{ error }

// process holds what both roles, entry and agent, need.
type process struct {
	settings platform.Settings
	// announcedAddress is the address at which other processes reach this one.
	announcedAddress string
	// learnRunTimes makes the leader learn the run times of tasks and the speeds of workers.
	learnRunTimes bool
	// preferFastWorkers makes the leader place work on workers that were measured to be slow last.
	preferFastWorkers bool
	// hangups receives a value after a SIGHUP.
	hangups <-chan os.Signal
	log     *log.Logger
	metrics *recorder.Metrics
	// guard bounds what the clients of all servers take together.
	guard        *limiter.Guard
	servers      sync.WaitGroup
	serverErrors chan error
}

// command returns the subcommand for a role. It loads the settings, logs to out and calls runRole with a context that
// ends on SIGTERM or SIGINT.
func command(name, help string, out *recorder.Writer, hangups <-chan os.Signal, runRole func(ctx context.Context, p *process) error) *ffcli.Command {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	announcedAddress := flags.String("announce", "", "`address` that other processes use to reach this one; empty means the address that it listens on")
	clientMemory := flags.Int64("client-memory", 0, "`MiB` of memory that all clients together can take; 0 means a quarter of the VM's memory")
	stallTimeout := flags.Duration("stall-timeout", limiter.DefaultStallTimeout, "`time` without progress after which a body or an answer is given up")
	bodyTimeout := flags.Duration("body-timeout", limiter.DefaultBodyTimeout, "`time` in which a client must send a body")
	learnRunTimes := flags.Bool("learn-run-times", false, "entries: learn the run times of tasks and the speeds of workers from runs, and plan by them")
	preferFastWorkers := flags.Bool("prefer-fast-workers", false, "entries: place work last on workers that were measured to be slower than most")
	return &ffcli.Command{
		Name: name, ShortUsage: "persimmontrail-node " + name + " [flags]", ShortHelp: help,
		LongHelp: "Each flag can be set by an environment variable, for instance PERSIMMONTRAIL_ANNOUNCE.",
		FlagSet:  flags,
		Options:  []ff.Option{ff.WithEnvVarPrefix("PERSIMMONTRAIL")},
		Exec: func(ctx context.Context, _ []string) error {
			logger := log.NewWithOptions(out, log.Options{
				Formatter: log.LogfmtFormatter, ReportTimestamp: true, TimeFormat: "15:04:05.000", Prefix: name,
			})
			nodeSettings, err := platform.LoadSettings()
			if err != nil {
				logger.Error("failed to load settings", "err", err)
				return settingsError{err}
			}
			limits, err := limiter.Limits{
				VMMemory: nodeSettings.VMMemory, Descriptors: nodeSettings.Descriptors, ClientMemory: limiter.Bytes(*clientMemory) << 20,
				StallTimeout: *stallTimeout, BodyTimeout: *bodyTimeout,
			}.Complete()
			if err != nil {
				logger.Error("failed to check limits on clients", "err", err)
				return settingsError{err}
			}
			debug.SetMemoryLimit(int64(runtimeMemoryShare * float64(limits.VMMemory)))
			p := &process{
				settings: nodeSettings, announcedAddress: cmp.Or(*announcedAddress, nodeSettings.PeerAddress), learnRunTimes: *learnRunTimes,
				preferFastWorkers: *preferFastWorkers, hangups: hangups, log: logger,
				metrics: &recorder.Metrics{}, serverErrors: make(chan error, 8),
			}
			p.guard = &limiter.Guard{Limits: limits, Log: logger, Metrics: p.metrics}
			logger.Info("process started", "node", nodeSettings.Node, "failure_domain", nodeSettings.FailureDomain,
				"region", nodeSettings.Region, "store", nodeSettings.StoreAddress)
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			go p.checkSettingsOnHangup(ctx)
			err = runRole(ctx, p)
			logger.Info("process stopped", "node", nodeSettings.Node, "err", err)
			return err
		},
	}
}

// checkSettingsOnHangup reads the settings again on each SIGHUP until ctx ends, checks them and logs the result. The
// settings in use do not change while a process runs.
func (p *process) checkSettingsOnHangup(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.hangups:
			s, err := platform.LoadSettings()
			p.log.Info("settings checked on SIGHUP", "changed", err == nil && s != p.settings, "err", err)
		}
	}
}

// The parts of a process's limits that the clients of each port can use up.
var (
	callerPort    = limiter.Port{Name: "callers", Memory: 0.6, Connections: 0.45, Requests: 0.15}
	readinessPort = limiter.Port{Name: "readiness", Memory: 0.1, Connections: 0.05, Requests: 0.02}
	entryPeerPort = limiter.Port{Name: "entries", Memory: 0.4, Connections: 0.15, Requests: 0.05}
	leaderPort    = limiter.Port{Name: "leaders", Memory: 0.5, Connections: 0.2, Requests: 0.1}
	heartbeatPort = limiter.Port{Name: "heartbeats", Memory: 0.8, Connections: 0.1, Requests: 0.05}
	metricsAccess = limiter.Port{Name: "metrics", Memory: 0.1, Connections: 0.05, Requests: 0.02}
)

// serve starts a server on an address and returns an error if it cannot listen there. If the server fails later, it
// sends the error to serverErrors.
func (p *process) serve(port limiter.Port, address string, h http.Handler) (*http.Server, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	server, listener := p.guard.Serve(port, inner, h)
	p.servers.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			p.serverErrors <- err
		}
	})
	return server, nil
}

// serveMetrics serves the counters and histograms of the process and a liveness check on metricsPort.
func (p *process) serveMetrics(host string) (*http.Server, error) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { p.metrics.Write(w) })
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	return p.serve(metricsAccess, net.JoinHostPort(host, fmt.Sprint(metricsPort)), mux)
}

// wait blocks until ctx ends, which is a requested stop and returns nil, or until a server fails. It returns the error
// of that server.
func (p *process) wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		p.log.Info("stop requested")
		return nil
	case err := <-p.serverErrors:
		return err
	}
}

func hostOf(address string) string {
	h, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return h
}
