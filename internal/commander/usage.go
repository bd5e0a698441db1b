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

// configure sets the help output, the environment variables and the argument check of c and its subcommands.
// path is the command path of c, starting with the program name.
func (p *Program) configure(c *ffcli.Command, path string) {
	// Package flag prints its errors and the help itself. A buffer collects this output, so that the help is
	// shown only on request.
	c.FlagSet.SetOutput(&p.helpText)
	c.Options = append(c.Options, ff.WithEnvVarPrefix(envPrefix))
	c.UsageFunc = func(command *ffcli.Command) string {
		p.helpCommand = path
		p.helpText.Reset()
		return formatHelp(command)
	}
	// A command without subcommands whose usage ends with the flags takes no arguments.
	if strings.HasSuffix(c.ShortUsage, "[flags]") && len(c.Subcommands) == 0 {
		c.Exec = rejectArguments(c.Exec)
	}
	for _, s := range c.Subcommands {
		p.configure(s, path+" "+s.Name)
	}
}

// rejectArguments wraps the Exec function of a command without arguments. The wrapper rejects arguments, such
// as a value whose flag is missing.
func rejectArguments(exec func(context.Context, []string) error) func(context.Context, []string) error {
	return func(ctx context.Context, args []string) error {
		if len(args) > 0 {
			return fmt.Errorf("%w: unexpected argument %q", errUsage, args[0])
		}
		return exec(ctx, args)
	}
}

// requireSubcommand returns the Exec function of a command that only groups subcommands. The function always
// returns an error, which lists the subcommands.
func requireSubcommand(c *ffcli.Command) func(context.Context, []string) error {
	return func(_ context.Context, args []string) error {
		var names []string
		for _, s := range c.Subcommands {
			names = append(names, s.Name)
		}
		choices := strings.Join(names, ", ")
		if len(args) > 0 {
			return fmt.Errorf("%w: unknown command %q, want one of %s", errUsage, args[0], choices)
		}
		return fmt.Errorf("%w: a command is missing, want one of %s", errUsage, choices)
	}
}

// describeParseError rewrites an error of package flag or ff in the style of other errors and names the command
// whose help to read.
func (p *Program) describeParseError(err error) string {
	text := strings.TrimPrefix(err.Error(), "error parsing commandline arguments: ")
	text = strings.TrimPrefix(text, "error parsing environment variables: ")
	text = strings.Replace(text, "flag provided but not defined: -", "unknown flag --", 1)
	text = strings.Replace(text, "for flag -", "for flag --", 1)
	if p.helpCommand == "" {
		return text
	}
	return text + "\nsee " + p.helpCommand + " --help"
}

// formatHelp returns the help of a command: its purpose, usage and details, its subcommands, and its flags with their
// default values. The text does not end with a newline; ffcli adds one.
func formatHelp(c *ffcli.Command) string {
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
	noFlagYet := true
	c.FlagSet.VisitAll(func(f *flag.Flag) {
		if noFlagYet {
			fmt.Fprintln(w, "\nFlags:")
			noFlagYet = false
		}
		defaultText := ""
		if f.DefValue != "" && f.DefValue != "false" {
			defaultText = " (default " + f.DefValue + ")"
		}
		fmt.Fprintf(w, "  --%s\t%s%s\n", f.Name, f.Usage, defaultText)
	})
	w.Flush()
	if !noFlagYet {
		fmt.Fprintf(&b, "\nEach flag has an environment variable: --%s is %s.\n", firstFlagName(c.FlagSet), envVariable(firstFlagName(c.FlagSet)))
	}
	return strings.TrimRight(b.String(), "\n")
}

// firstFlagName returns the name of the alphabetically first flag, or "" if there is none.
func firstFlagName(f *flag.FlagSet) string {
	name := ""
	f.VisitAll(func(g *flag.Flag) {
		if name == "" {
			name = g.Name
		}
	})
	return name
}

// envVariable returns the name of the environment variable of a flag, by the same rule as package ff.
func envVariable(name string) string {
	return envPrefix + "_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}

// outputFlag is the output format, table or json.
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

// printer returns a printer to Stdout, and an error if the output format is invalid. The printer is not nil even then.
func (p *Program) printer(o outputFlag) (*printer, error) {
	return &printer{json: o == "json", out: p.Stdout}, o.validate()
}
