// Command soak runs the system's programs as separate processes, injects faults from outside and checks the system's
// promises. It exits with code 1 if a promise was broken, a run failed or the command line is invalid.
package main

import (
	"cmp"
	"context"
	"errors"
	"flag"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"persimmontrail/internal/soaker"
)

// errViolation is wrapped by the error of each run in which a promise was broken.
var errViolation = errors.New("a promise was broken")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := newCommand().ParseAndRun(ctx, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// command holds the values of the flags. Seed and Dir of the options are set for each run.
type command struct {
	options   soaker.Options
	seedCount int
	firstSeed uint64
	parallel  int
	logDir    string
}

// newCommand returns the command. By default, the first seed is the current Unix time, so that each start uses new
// ones.
func newCommand() *ffcli.Command {
	var c command
	flags := flag.NewFlagSet("soak", flag.ContinueOnError)
	flags.IntVar(&c.seedCount, "seeds", 4, "number of seeds to run")
	flags.Uint64Var(&c.firstSeed, "first", uint64(time.Now().Unix()), "first seed; the others follow it")
	flags.IntVar(&c.parallel, "parallel", 2, "number of runs at the same time")
	flags.IntVar(&c.options.Entries, "entries", 3, "number of entry processes of a run")
	flags.IntVar(&c.options.Agents, "agents", 6, "number of agent processes of a run")
	flags.IntVar(&c.options.Callers, "callers", 4, "number of callers of a run")
	flags.DurationVar(&c.options.Load, "load", 12*time.Second, "how long callers submit jobs and faults are injected")
	flags.BoolVar(&c.options.OrdersInHeartbeats, "heartbeat-orders", false, "workers take their orders from the answers to their heartbeats")
	flags.BoolVar(&c.options.HardLoad, "hard-load", true, "uneven workers, long tasks, rushes, grey and flapping workers, and hostile crowds; without it, a seed plays the other faults alone")
	flags.StringVar(&c.options.Program, "program", "", "path of the node program; built when empty")
	flags.StringVar(&c.logDir, "keep", "soak-logs", "directory for the logs of runs that broke a promise")
	return &ffcli.Command{
		Name: "soak", ShortUsage: "soak [flags]", FlagSet: flags,
		LongHelp: "Example: go run ./cmd/soak --seeds 50 --first 1\nEach flag can be set by an environment variable, for instance SOAK_SEEDS.",
		Options:  []ff.Option{ff.WithEnvVarPrefix("SOAK")},
		Exec:     func(ctx context.Context, _ []string) error { return c.run(ctx) },
	}
}

// run builds the node program unless one is given, then runs all seeds and returns the errors of those that failed or
// broke a promise.
func (c *command) run(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	if c.options.Program == "" {
		c.options.Program = filepath.Join(dir, "node")
		build := exec.CommandContext(ctx, "go", "build", "-o", c.options.Program, "./cmd/persimmontrail-node")
		build.Stdout, build.Stderr = os.Stdout, os.Stderr
		if err := build.Run(); err != nil {
			return err
		}
	}
	seeds := make(chan uint64)
	go func() {
		defer close(seeds)
		for i := range c.seedCount {
			select {
			case seeds <- c.firstSeed + uint64(i):
			case <-ctx.Done():
				return
			}
		}
	}()
	var mu sync.Mutex
	var failures []error
	var runs sync.WaitGroup
	for range c.parallel {
		runs.Go(func() {
			for seed := range seeds {
				err := c.runSeed(ctx, dir, seed, &mu)
				mu.Lock()
				if err != nil {
					failures = append(failures, err)
				}
				mu.Unlock()
			}
		})
	}
	runs.Wait()
	fmt.Printf("%d seeds from %d, %d with a finding\n", c.seedCount, c.firstSeed, len(failures))
	return errors.Join(failures...)
}

// formatDiscarded lists core-seconds by cause, each after a space.
func formatDiscarded(work map[string]float64) string {
	var b strings.Builder
	for _, cause := range slices.Sorted(maps.Keys(work)) {
		fmt.Fprintf(&b, " %s %.0f", cause, work[cause])
	}
	return cmp.Or(b.String(), " none")
}

// runSeed runs the soak with one seed and prints its findings, the broken promises. If there are any, it also prints the
// injected faults and copies the logs of the processes to logDir. The mutex keeps the output of parallel runs apart.
func (c *command) runSeed(ctx context.Context, dir string, seed uint64, mu *sync.Mutex) error {
	o := c.options
	o.Seed = seed
	o.Dir = filepath.Join(dir, fmt.Sprint(seed))
	if err := os.Mkdir(o.Dir, 0o755); err != nil {
		return err
	}
	r, err := soaker.Run(ctx, o)
	mu.Lock()
	defer mu.Unlock()
	if err != nil {
		return fmt.Errorf("seed %d: %w", seed, err)
	}
	fmt.Printf("seed %d: %d jobs accepted, %d refused, %d done; %d attempts; %d faults; %d findings\n",
		seed, r.Accepted, r.Refused, r.Done, r.Attempts, len(r.Faults), len(r.Violations))
	fmt.Printf("    entries: at most %d MB, %d descriptors; %.0f reports set aside; core-seconds discarded:%s\n",
		r.PeakMemory>>20, r.PeakDescriptors, r.SetAside, formatDiscarded(r.DiscardedWork))
	if len(r.Violations) == 0 {
		return os.RemoveAll(o.Dir)
	}
	for _, f := range r.Faults {
		fmt.Println("   ", f)
	}
	for _, v := range r.Violations {
		fmt.Println("  broken:", v)
	}
	runLogDir := filepath.Join(c.logDir, fmt.Sprint(seed))
	if err := os.MkdirAll(c.logDir, 0o755); err != nil {
		return err
	}
	if err := os.CopyFS(runLogDir, os.DirFS(o.Dir)); err != nil {
		return err
	}
	return fmt.Errorf("seed %d: %w; logs in %s", seed, errViolation, runLogDir)
}
