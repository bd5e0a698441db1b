package commander

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"persimmontrail/internal/coordinator"
	"persimmontrail/internal/recorder"
	"persimmontrail/pkg/descriptor"
	"persimmontrail/pkg/validator"
)

// readConfiguration reads and validates a configuration file. If the file describes the fleet, it also checks that
// the guarantees fit on it.
func readConfiguration(file string) (*descriptor.Configuration, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, validator.Errors{{Field: "file", Reason: err.Error()}}
	}
	cfg, err := validator.ParseConfiguration(data)
	if err != nil {
		return nil, err
	}
	return cfg, validator.CheckConfiguration(cfg, nil)
}

// oneArgument returns the only argument, or an error if there are none or several. description says in errors
// what the argument is.
func oneArgument(args []string, description string) (string, error) {
	switch {
	case len(args) == 0:
		return "", fmt.Errorf("%w: an argument is missing: %s", errUsage, description)
	case len(args) > 1:
		return "", fmt.Errorf("%w: want one argument, %s, and not %q; flags stand before arguments", errUsage, description, args[1:])
	}
	return args[0], nil
}

func (p *Program) validateCommand() *ffcli.Command {
	f := newFlagSet("validate")
	var output outputFlag
	output.register(f)
	return &ffcli.Command{
		Name:       "validate",
		ShortUsage: "persimmontrail validate [flags] FILE",
		ShortHelp:  "Check a configuration file without changing anything.",
		LongHelp: `All faults are shown at once, each with its field. Example:
  persimmontrail validate deployment.json`,
		FlagSet: f,
		Exec: func(_ context.Context, args []string) error {
			file, err := oneArgument(args, "the configuration file")
			if err != nil {
				return err
			}
			printer, outputErr := p.printer(output)
			cfg, err := readConfiguration(file)
			if err := joinFieldErrors(outputErr, err); err != nil {
				return err
			}
			v := struct{ Workspaces, Classes, FailureDomains int }{len(cfg.Workspaces), len(cfg.Classes), len(cfg.FailureDomains)}
			return printer.print(v, func(w io.Writer) {
				fmt.Fprintf(w, "valid: %d workspaces, %d classes, %d failure domains\n", v.Workspaces, v.Classes, v.FailureDomains)
			})
		},
	}
}

func (p *Program) applyCommand() *ffcli.Command {
	f := newFlagSet("apply")
	var c clientFlags
	c.register(f)
	force := f.Bool("force", false, "replace the configuration whatever revision it has now")
	return &ffcli.Command{
		Name:       "apply",
		ShortUsage: "persimmontrail apply [flags] FILE",
		ShortHelp:  "Put a configuration file in force.",
		LongHelp: `The field Revision of the file names the revision on which the change is based; without it, the
configuration must be the first one. When another operator was faster, nothing is changed and the
differing parts are named. Example:
  persimmontrail apply --entry http://10.0.0.7:7401 --operator jana deployment.json`,
		FlagSet: f,
		Exec: func(ctx context.Context, args []string) error {
			file, err := oneArgument(args, "the configuration file")
			if err != nil {
				return err
			}
			cfg, fileErr := readConfiguration(file)
			client, clientErr := p.client(c)
			if err := joinFieldErrors(fileErr, clientErr); err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, clientTimeout)
			defer cancel()
			if *force {
				if err := client.setCurrentRevision(ctx, cfg); err != nil {
					return err
				}
			}
			var response coordinator.ChangeResponse
			if err := client.call(ctx, http.MethodPut, "/v1/configuration", cfg, &response); err != nil {
				return err
			}
			return client.printChange(response)
		},
	}
}

// setCurrentRevision sets the revision of cfg to that of the entry's configuration, or to 0 if there is none, so
// that the entry accepts cfg as its replacement.
func (c *entryClient) setCurrentRevision(ctx context.Context, cfg *descriptor.Configuration) error {
	var current descriptor.Configuration
	data, status, err := c.do(ctx, http.MethodGet, "/v1/configuration", nil)
	if status == http.StatusNotFound {
		cfg.Revision = 0
		return nil
	}
	if err != nil {
		return err
	}
	if err := decodeJSON(data, &current); err != nil {
		return err
	}
	cfg.Revision = current.Revision
	return nil
}

// printChange prints the state of a change and the entries that have not acknowledged it.
func (c *entryClient) printChange(response coordinator.ChangeResponse) error {
	return c.print(response, func(w io.Writer) {
		fmt.Fprintf(w, "%s\trevision %d\n", response.State, response.Revision)
		for _, id := range response.Missing {
			fmt.Fprintf(w, "not acknowledged\t%s\n", id)
		}
	})
}

func (p *Program) domainCommand() *ffcli.Command {
	c := &ffcli.Command{
		Name:       "domain",
		ShortUsage: "persimmontrail domain out|in|list [flags] [NAME]",
		ShortHelp:  "Take a failure domain out, bring it back, or list all.",
		LongHelp:   "Example:\n  persimmontrail domain out --operator jana Sherbrooke",
		FlagSet:    newFlagSet("domain"),
		Subcommands: []*ffcli.Command{
			p.setDomainCommand("out", "Take a failure domain out: nothing starts there any more.", true),
			p.setDomainCommand("in", "Bring a failure domain back.", false),
			p.listDomainsCommand(),
		},
	}
	c.Exec = requireSubcommand(c)
	return c
}

// setDomainCommand returns the command that takes a failure domain out or, if out is false, brings it back.
func (p *Program) setDomainCommand(name, help string, out bool) *ffcli.Command {
	f := newFlagSet(name)
	var c clientFlags
	c.register(f)
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "persimmontrail domain " + name + " [flags] NAME",
		ShortHelp:  help,
		LongHelp: `The answer is Accepted once the change is in force everywhere within seconds, or Stored when some entries did
not acknowledge it; repeat the command then. Example:
  persimmontrail domain ` + name + ` --operator jana Sherbrooke`,
		FlagSet: f,
		Exec: func(ctx context.Context, args []string) error {
			domain, err := oneArgument(args, "the failure domain")
			if err != nil {
				return err
			}
			client, err := p.client(c)
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, clientTimeout)
			defer cancel()
			var response coordinator.ChangeResponse
			body := struct{ Out bool }{out}
			if err := client.call(ctx, http.MethodPut, "/v1/failure-domains/"+url.PathEscape(domain), body, &response); err != nil {
				return err
			}
			return client.printChange(response)
		},
	}
}

func (p *Program) listDomainsCommand() *ffcli.Command {
	f := newFlagSet("list")
	var c clientFlags
	c.register(f)
	return &ffcli.Command{
		Name:       "list",
		ShortUsage: "persimmontrail domain list [flags]",
		ShortHelp:  "List the failure domains.",
		LongHelp:   "Example:\n  persimmontrail domain list",
		FlagSet:    f,
		Exec: func(ctx context.Context, _ []string) error {
			client, err := p.client(c)
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, clientTimeout)
			defer cancel()
			var answer struct {
				Revision       descriptor.Revision
				FailureDomains []descriptor.FailureDomain
			}
			if err := client.call(ctx, http.MethodGet, "/v1/failure-domains", nil, &answer); err != nil {
				return err
			}
			return client.print(answer, func(w io.Writer) {
				fmt.Fprintln(w, "FAILURE DOMAIN\tREGION\tSTATE")
				for _, d := range answer.FailureDomains {
					fmt.Fprintf(w, "%s\t%s\t%s\n", d.Name, d.Region, domainState(d.Out))
				}
			})
		},
	}
}

func domainState(out bool) string {
	if out {
		return "out"
	}
	return "in"
}

func (p *Program) statusCommand() *ffcli.Command {
	f := newFlagSet("status")
	var c clientFlags
	c.register(f)
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "persimmontrail status [flags]",
		ShortHelp:  "Show entries, agents, failure domains, schedulers, guarantees and fragmentation.",
		LongHelp:   "Example:\n  persimmontrail status --output json",
		FlagSet:    f,
		Exec: func(ctx context.Context, _ []string) error {
			client, err := p.client(c)
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, clientTimeout)
			defer cancel()
			var s coordinator.Status
			if err := client.call(ctx, http.MethodGet, "/v1/status", nil, &s); err != nil {
				return err
			}
			return client.printText(s, func(w io.Writer) { printStatus(w, s) })
		},
	}
}

// agentState returns the state that an agent last reported, or Silent if its reports have stopped.
func agentState(a coordinator.AgentStatus) string {
	if a.Silent {
		return "Silent"
	}
	return string(a.State)
}

func workerColumn(a coordinator.AgentStatus) string {
	if a.Worker == nil {
		return "-"
	}
	return fmt.Sprintf("%s (%d accelerators)", a.Worker.ID, a.Worker.Accelerators)
}

func endpointColumn(a coordinator.AgentStatus) string {
	if a.Endpoint == nil {
		return "-"
	}
	return fmt.Sprintf("%s (%d of %d slots)", a.Endpoint.ID, a.Endpoint.Busy, a.Endpoint.Slots)
}

func (p *Program) auditCommand() *ffcli.Command {
	f := newFlagSet("audit")
	var c clientFlags
	c.register(f)
	return &ffcli.Command{
		Name:       "audit",
		ShortUsage: "persimmontrail audit [flags] [SUBJECT]",
		ShortHelp:  "Show the newest audit records of an entry whose subject contains a text.",
		LongHelp:   "Each entry keeps the records of its own decisions in memory. Example:\n  persimmontrail audit \"failure domain Sherbrooke\"",
		FlagSet:    f,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 1 {
				return fmt.Errorf("%w: want at most one argument, the subject", errUsage)
			}
			client, err := p.client(c)
			if err != nil {
				return err
			}
			subject := strings.Join(args, "")
			ctx, cancel := context.WithTimeout(ctx, clientTimeout)
			defer cancel()
			var answer struct{ Records []recorder.AuditRecord }
			if err := client.call(ctx, http.MethodGet, "/v1/audit?subject="+url.QueryEscape(subject), nil, &answer); err != nil {
				return err
			}
			return client.print(answer, func(w io.Writer) {
				printAudit(w, answer.Records)
			})
		},
	}
}
