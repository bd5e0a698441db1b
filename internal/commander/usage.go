package commander

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"persimmontrail/pkg/validator"
)

// prepare sets what all commands have in common. path is the command line up to c.
func (p *Program) prepare(c *ffcli.Command, path string) {
	// flag prints its errors and the whole help by itself. The help goes to a
	// buffer, which is shown only when it was asked for.
	c.FlagSet.SetOutput(&p.help)
	c.Options = append(c.Options, ff.WithEnvVarPrefix(envPrefix))
	c.UsageFunc = func(c *ffcli.Command) string {
		p.failing = path
		p.help.Reset()
		return usage(c)
	}
	if strings.HasSuffix(c.ShortUsage, "[flags]") && len(c.Subcommands) == 0 {
		c.Exec = withoutArguments(c.Exec)
	}
	for _, s := range c.Subcommands {
		p.prepare(s, path+" "+s.Name)
	}
}

// withoutArguments refuses arguments of a command that takes none, such as a value whose flag was forgotten.
func withoutArguments(exec func(context.Context, []string) error) func(context.Context, []string) error {
	return func(ctx context.Context, args []string) error {
		if len(args) > 0 {
			return fmt.Errorf("%w: unexpected argument %q", errUsage, args[0])
		}
		return exec(ctx, args)
	}
}

// needsSubcommand is what a command does that only groups others.
func needsSubcommand(c *ffcli.Command) func(context.Context, []string) error {
	return func(_ context.Context, args []string) error {
		var names []string
		for _, s := range c.Subcommands {
			names = append(names, s.Name)
		}
		list := strings.Join(names, ", ")
		if len(args) > 0 {
			return fmt.Errorf("%w: unknown command %q, want one of %s", errUsage, args[0], list)
		}
		return fmt.Errorf("%w: a command is missing, want one of %s", errUsage, list)
	}
}

// describeParseError turns errors of package flag into the form of other errors.
func (p *Program) describeParseError(err error) string {
	text := strings.TrimPrefix(err.Error(), "error parsing commandline arguments: ")
	text = strings.TrimPrefix(text, "error parsing environment variables: ")
	text = strings.Replace(text, "flag provided but not defined: -", "unknown flag --", 1)
	text = strings.Replace(text, "for flag -", "for flag --", 1)
	if p.failing == "" {
		return text
	}
	return text + "\nsee " + p.failing + " --help"
}

// usage returns the help of a command.
func usage(c *ffcli.Command) string {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s\n\nUsage:\n  %s\n", c.ShortHelp, c.ShortUsage)
	if c.LongHelp != "" {
		fmt.Fprintf(&b, "\n%s\n", c.LongHelp)
	}
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	if len(c.Subcommands) > 0 {
		fmt.Fprintln(w, "\nCommands:")
		for _, s := range c.Subcommands {
			fmt.Fprintf(w, "  %s\t%s\n", s.Name, s.ShortHelp)
		}
	}
	w.Flush()
	first := true
	c.FlagSet.VisitAll(func(f *flag.Flag) {
		if first {
			fmt.Fprintln(w, "\nFlags:")
			first = false
		}
		value := ""
		if f.DefValue != "" && f.DefValue != "false" {
			value = " (default " + f.DefValue + ")"
		}
		fmt.Fprintf(w, "  --%s\t%s%s\n", f.Name, f.Usage, value)
	})
	w.Flush()
	if !first {
		fmt.Fprintf(&b, "\nEach flag has an environment variable: --%s is %s.\n", firstFlag(c.FlagSet), variableOf(firstFlag(c.FlagSet)))
	}
	return strings.TrimRight(b.String(), "\n")
}

func firstFlag(f *flag.FlagSet) string {
	name := ""
	f.VisitAll(func(g *flag.Flag) {
		if name == "" {
			name = g.Name
		}
	})
	return name
}

// variableOf returns the environment variable of a flag, as ff maps it.
func variableOf(name string) string {
	return envPrefix + "_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}

// outputFlag is the format of what a command prints.
type outputFlag string

func (o *outputFlag) register(f *flag.FlagSet) {
	f.StringVar((*string)(o), "output", "table", "output: table or json")
}

func (o outputFlag) validate() error {
	if o != "table" && o != "json" {
		return validator.Errors{{Field: "output", Reason: fmt.Sprintf("is %q, want table or json", string(o))}}
	}
	return nil
}

// printer returns the printer for an output format.
func (p *Program) printer(o outputFlag) (*printer, error) {
	return &printer{json: o == "json", out: p.Stdout}, o.validate()
}
