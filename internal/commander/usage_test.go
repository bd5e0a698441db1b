package commander

import (
	"bytes"
	"flag"
	"fmt"
	"strings"
	"testing"

	"github.com/peterbourgon/ff/v3/ffcli"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// visitCommands calls visit for c and all its subcommands. path is the command path without the
// program name.
func visitCommands(c *ffcli.Command, path []string, visit func(c *ffcli.Command, path []string)) {
	visit(c, path)
	for _, s := range c.Subcommands {
		visitCommands(s, append(path[:len(path):len(path)], s.Name), visit)
	}
}

// TestHelp guards against commands without help or an example, and against unintended changes of the command
// line.
func TestHelp(t *testing.T) {
	var helpTexts strings.Builder
	visitCommands((&Program{}).rootCommand(), nil, func(c *ffcli.Command, path []string) {
		code, stdout, stderr := runProgram(t, append(path, "--help")...)
		assert.Equal(t, code, ExitOK, "%v: %s", path, stderr)
		assert.Equal(t, stderr, "")
		assert.Assert(t, strings.Contains(stdout, "Example:\n  persimmontrail "), "%v has no example:\n%s", path, stdout)
		fmt.Fprintf(&helpTexts, "$ persimmontrail %s --help\n%s\n", strings.Join(path, " "), stdout)
	})
	golden.Assert(t, helpTexts.String(), "help.golden")
}

// TestEveryFlagHasEnvironmentVariable guards against flags of subcommands whose environment variable
// is ignored.
func TestEveryFlagHasEnvironmentVariable(t *testing.T) {
	visitCommands((&Program{}).rootCommand(), nil, func(c *ffcli.Command, path []string) {
		c.FlagSet.VisitAll(func(f *flag.Flag) {
			// Find a value that is valid for the type of the flag. f keeps it as the expected value.
			value := "3s"
			for _, candidate := range []string{"3s", "3", "true"} {
				if f.Value.Set(candidate) == nil {
					value = candidate
					break
				}
			}
			t.Run(strings.Join(path, " ")+" "+f.Name, func(t *testing.T) {
				t.Setenv(envVariable(f.Name), value)
				p := &Program{Stdout: &bytes.Buffer{}, Stderr: &bytes.Buffer{}}
				root := p.rootCommand()
				assert.NilError(t, root.Parse(path))
				visitCommands(root, nil, func(d *ffcli.Command, visitedPath []string) {
					if strings.Join(visitedPath, " ") == strings.Join(path, " ") {
						assert.Equal(t, d.FlagSet.Lookup(f.Name).Value.String(), f.Value.String())
					}
				})
			})
		})
	})
}

// TestUsageErrors guards against unintended changes of the errors for invalid command lines, and against wrong
// exit codes.
func TestUsageErrors(t *testing.T) {
	var errorTexts strings.Builder
	for _, args := range [][]string{
		{},
		{"jobs"},
		{"job"},
		{"job", "delete"},
		{"keys", "tokens"},
		{"job", "submit", "--gpus", "3"},
		{"job", "submit", "--tasks", "three"},
		{"job", "submit", "--output", "yaml", "--adjacency", "Room", "--entry", "10.0.0.7:7401", "--token-file", "testdata/missing"},
		{"job", "list", "atelier"},
		{"job", "get", "atelier"},
		{"job", "get", "atelier", "j1", "--output", "json"},
		{"domain", "out"},
		{"domain", "out", "Sherbrooke", "--operator", "jana"},
		{"apply"},
		{"validate", "testdata/missing.json"},
		{"request", "--ask", "--body", "@testdata/missing"},
		{"audit", "a", "b"},
		{"status", "--http-authority", "testdata/missing.crt"},
		{"keys", "--ips", "10.0.0.7,here,there"},
		{"keys", "token"},
		{"trace", "generate", "--day", "good", "--deployment", "Paris"},
		{"entry", "--listen", "here", "--store", "there", "--log-level", "loud", "--log-format", "xml", "--operator-token-file", "testdata/missing", "--http-tls-certificate", "testdata/missing.crt"},
		{"agent", "--listen", "here", "--log-level", "loud"},
		{"demo", "--log-format", "xml", "--output", "xml"},
	} {
		code, stdout, stderr := runProgram(t, args...)
		assert.Equal(t, code, ExitUsage, "%v: %s", args, stderr)
		assert.Equal(t, stdout, "")
		fmt.Fprintf(&errorTexts, "$ persimmontrail %s\n%s\n", strings.Join(args, " "), stderr)
	}
	golden.Assert(t, errorTexts.String(), "usage-errors.golden")
}
