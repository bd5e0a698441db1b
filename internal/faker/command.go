package faker

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"persimmontrail/pkg/descriptor"
)

// environmentPrefix is the prefix of the environment variables that set flags.
const environmentPrefix = "PERSIMMONTRAIL_STANDIN"

// shutdownTimeout limits how long a stopping stand-in waits for calls in progress.
const shutdownTimeout = 10 * time.Second

// errInvalidSettings marks errors in the settings, for which the exit code is exitSettings.
var errInvalidSettings = errors.New("invalid settings")

// RunCommand runs the standin program with args as its command line and returns the exit code. SIGINT and SIGTERM stop
// it gracefully; a second signal stops the process immediately.
func RunCommand(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	context.AfterFunc(ctx, stop)
	root := rootCommand(stdout, stderr)
	if err := root.Parse(args); err != nil {
		return reportError(stderr, err, exitSettings)
	}
	return reportError(stderr, root.Run(ctx), exitFailure)
}

const (
	// exitFailure is the exit code after an error that is not in the command line or the settings.
	exitFailure = 1
	// exitSettings is the exit code for an invalid command line or invalid settings.
	exitSettings = 2
)

// reportError prints err and returns the exit code: exitSettings for errInvalidSettings, code for other errors. For nil
// and for a request for help it prints nothing and returns 0.
func reportError(stderr io.Writer, err error, code int) int {
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return 0
	case errors.Is(err, errInvalidSettings):
		code = exitSettings
	}
	fmt.Fprintf(stderr, "standin: %v\n", err)
	return code
}

// rootCommand returns the standin command, with a subcommand for each kind of stand-in.
func rootCommand(stdout, stderr io.Writer) *ffcli.Command {
	root := flag.NewFlagSet("standin", flag.ContinueOnError)
	root.SetOutput(stderr)
	return &ffcli.Command{
		Name:        "standin",
		ShortUsage:  "standin store|worker|endpoint [flags]",
		FlagSet:     root,
		Subcommands: []*ffcli.Command{storeCommand(stdout, stderr), workerCommand(stdout, stderr), endpointCommand(stdout, stderr)},
		Exec: func(context.Context, []string) error {
			return fmt.Errorf("%w: want store, worker or endpoint", errInvalidSettings)
		},
	}
}

// newSubcommand returns a subcommand that takes no arguments and whose flags can also be set by environment variables.
func newSubcommand(name, shortHelp string, stderr io.Writer, exec func(context.Context) error) *ffcli.Command {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	return &ffcli.Command{
		Name:      name,
		ShortHelp: shortHelp,
		FlagSet:   flags,
		Options:   []ff.Option{ff.WithEnvVarPrefix(environmentPrefix)},
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return fmt.Errorf("%w: unexpected arguments %q", errInvalidSettings, args)
			}
			return exec(ctx)
		},
	}
}

// storeCommand returns the subcommand that serves a Store. Flags set its rate limits, but not its faults.
func storeCommand(stdout, stderr io.Writer) *ffcli.Command {
	store := &Store{}
	var listenAddress string
	subcommand := newSubcommand("store", "a key-value store", stderr, func(ctx context.Context) error {
		return serve(ctx, listenAddress, stdout, &http.Server{Handler: store}, nil)
	})
	subcommand.FlagSet.StringVar(&listenAddress, "listen", "127.0.0.1:0", "address to listen on")
	subcommand.FlagSet.Float64Var(&store.switches.WritesPerSecond, "writes-per-second", DefaultWritesPerSecond, "rate of writes, below 0 for no limit")
	subcommand.FlagSet.Float64Var(&store.switches.ReadsPerSecond, "reads-per-second", DefaultReadsPerSecond, "rate of reads, below 0 for no limit")
	return subcommand
}

// workerCommand returns the subcommand that serves a Worker. Flags set its description and the lag of its usage, but no
// other faults.
func workerCommand(stdout, stderr io.Writer) *ffcli.Command {
	worker := &Worker{}
	description := &worker.Description
	var listenAddress string
	var lag time.Duration
	subcommand := newSubcommand("worker", "a worker of the platform", stderr, func(ctx context.Context) error {
		if err := checkWorker(*description); err != nil {
			return err
		}
		worker.switches.Lag = descriptor.Duration(lag)
		return serve(ctx, listenAddress, stdout, &http.Server{Handler: worker}, nil)
	})
	flags := subcommand.FlagSet
	flags.StringVar(&listenAddress, "listen", "127.0.0.1:0", "address to listen on")
	flags.StringVar((*string)(&description.ID), "id", "", "worker id")
	flags.StringVar((*string)(&description.Rack), "rack", "", "rack")
	flags.StringVar((*string)(&description.FailureDomain), "failure-domain", "", "failure domain")
	flags.StringVar((*string)(&description.Region), "region", "", "region")
	flags.Float64Var((*float64)(&description.Cores), "cores", 64, "processor cores")
	flags.Int64Var((*int64)(&description.Memory), "memory", 128_000, "memory in MB")
	flags.IntVar((*int)(&description.Accelerators), "accelerators", 8, "accelerators")
	flags.BoolVar(&description.Guard, "guard", true, "stop or throttle tasks over their declared size")
	flags.DurationVar(&lag, "lag", 2*time.Second, "age of the measured usage")
	return subcommand
}

// checkWorker returns all errors in the settings of a worker, joined into one that wraps errInvalidSettings, or nil.
func checkWorker(d descriptor.Worker) error {
	var errs []error
	for _, n := range []struct{ name, value string }{
		{"id", string(d.ID)},
		{"rack", string(d.Rack)},
		{"failure-domain", string(d.FailureDomain)},
		{"region", string(d.Region)},
	} {
		if n.value == "" {
			errs = append(errs, fmt.Errorf("%w: %s is not set", errInvalidSettings, n.name))
		}
	}
	if d.Cores <= 0 || d.Memory <= 0 || d.Accelerators < 0 {
		errs = append(errs, fmt.Errorf("%w: cores and memory must be above 0, accelerators not below 0", errInvalidSettings))
	}
	return errors.Join(errs...)
}

// endpointCommand returns the subcommand that serves an Endpoint and, if an agent is set, announces it there.
func endpointCommand(stdout, stderr io.Writer) *ffcli.Command {
	endpoint := &Endpoint{}
	var listenAddress, agentURL string
	subcommand := newSubcommand("endpoint", "an endpoint that serves requests", stderr, func(ctx context.Context) error {
		if err := checkEndpoint(endpoint); err != nil {
			return err
		}
		return serve(ctx, listenAddress, stdout, &http.Server{Handler: endpoint, ConnState: endpoint.ConnState}, func(ctx context.Context, address string) {
			if endpoint.URL == "" {
				endpoint.URL = "http://" + address
			}
			if agentURL != "" {
				endpoint.Announce(ctx, agentURL, http.DefaultClient)
			}
		})
	})
	flags := subcommand.FlagSet
	flags.StringVar(&listenAddress, "listen", "127.0.0.1:0", "address to listen on")
	flags.StringVar(&agentURL, "agent", "", "HTTP address of the agent, such as http://127.0.0.1:8080; empty announces nothing")
	flags.StringVar(&endpoint.URL, "url", "", "announced URL, by default that of the listening address")
	flags.StringVar((*string)(&endpoint.ID), "id", "", "endpoint id")
	flags.StringVar((*string)(&endpoint.Service), "service", "", "service")
	flags.IntVar(&endpoint.Slots, "slots", 8, "requests that run at the same time")
	flags.IntVar(&endpoint.Connections, "connections", 64, "limit of open connections")
	flags.DurationVar(&endpoint.ServiceTime, "service-time", 50*time.Millisecond, "time that a request takes")
	return subcommand
}

// checkEndpoint returns all errors in the settings of an endpoint, joined into one that wraps errInvalidSettings, or
// nil.
func checkEndpoint(e *Endpoint) error {
	var errs []error
	if e.ID == "" {
		errs = append(errs, fmt.Errorf("%w: id is not set", errInvalidSettings))
	}
	if e.Service == "" {
		errs = append(errs, fmt.Errorf("%w: service is not set", errInvalidSettings))
	}
	if e.Slots < 1 || e.Connections < 1 {
		errs = append(errs, fmt.Errorf("%w: slots and connections must be above 0", errInvalidSettings))
	}
	return errors.Join(errs...)
}

// serve prints the listening address as a JSON line and serves until ctx ends. If background is not nil, serve calls it
// with the address in a separate goroutine.
func serve(ctx context.Context, listenAddress string, stdout io.Writer, server *http.Server, background func(context.Context, string)) error {
	l, err := net.Listen("tcp", listenAddress)
	if err != nil {
		return err
	}
	address := l.Addr().String()
	if err := json.NewEncoder(stdout).Encode(struct{ Address string }{address}); err != nil {
		return err
	}
	if background != nil {
		go background(ctx, address)
	}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(l) }()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(shutdownCtx); err != nil {
		return server.Close()
	}
	return nil
}
