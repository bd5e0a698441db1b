package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"persimmontrail/internal/issuer"
	"persimmontrail/internal/messenger"
)

// Guards against a command whose JSON is mixed with text for people.
func TestEveryCommandPrintsJSON(t *testing.T) {
	e := startEntry(t, nil)
	e.apply(nil)
	dir := t.TempDir()
	for _, args := range [][]string{
		{"version"},
		{"validate", "--output", "json", "../../examples/beaulieu.json"},
		{"keys", "--dir", filepath.Join(dir, "keys")},
		{"keys", "token", "--out", filepath.Join(dir, "token")},
		{"replay", "--policy", "guaranteed", "--trace", "../replayer/testdata/fault-occupied-shape.jsonl"},
		{"job", "submit", "--workspace", "obec", "--class", "Survey", "--id", "j1", "--entry", e.url},
		{"job", "list", "--entry", e.url},
		{"job", "get", "--entry", e.url, "--output", "json", "obec", "j1"},
		{"job", "explain", "--entry", e.url, "--output", "json", "obec", "j1"},
		{"job", "cancel", "--entry", e.url, "--output", "json", "obec", "j1"},
		{"domain", "out", "--entry", e.url, "--output", "json", "Praha"},
		{"domain", "list", "--entry", e.url},
		{"status", "--entry", e.url},
		{"audit", "--entry", e.url},
		{"request", "--workspace", "obec", "--class", "Sizing", "--timeout", "200ms", "--entry", e.url},
	} {
		if !strings.Contains(strings.Join(args, " "), "--output") {
			args = append(args, "--output", "json")
		}
		code, stdout, stderr := runProgram(t, args...)
		// No endpoint serves the request.
		if args[0] != "request" {
			assert.Equal(t, code, ExitOK, "%v: %s", args, stderr)
		}
		assert.Assert(t, json.Valid([]byte(stdout)), "%v: %s", args, stdout)
	}
}

// Guards against a token file that is replaced while a workspace uses its token, and against a printed hash that no entry accepts.
func TestTokenCommand(t *testing.T) {
	out := filepath.Join(t.TempDir(), "token")
	code, stdout, stderr := runProgram(t, "keys", "token", "--out", out)
	assert.Equal(t, code, ExitOK, stderr)
	token, err := readToken("token-file", out)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(stdout, hashOf(token)), stdout)
	assert.Assert(t, !strings.Contains(stdout, token))
	code, _, stderr = runProgram(t, "keys", "token", "--out", out)
	assert.Equal(t, code, ExitUsage)
	assert.Assert(t, strings.Contains(stderr, "out:"), stderr)
	same, err := readToken("token-file", out)
	assert.NilError(t, err)
	assert.Equal(t, same, token)
}

// Guards against logs in another format than the one asked for, and against colours with NO_COLOR.
func TestLogFormats(t *testing.T) {
	authority, err := issuer.NewAuthority()
	assert.NilError(t, err)
	files, err := authority.Write(t.TempDir(), messenger.RoleEntry, "entry")
	assert.NilError(t, err)
	for format, isValid := range map[string]func(line string) bool{
		"json":   func(l string) bool { return json.Valid([]byte(l)) },
		"logfmt": func(l string) bool { return strings.HasPrefix(l, "time=") && strings.Contains(l, " level=info ") },
		"text":   func(l string) bool { return strings.Contains(l, " INFO entry: ") },
	} {
		t.Run(format, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			var logs bytes.Buffer
			p := &Program{Stdout: io.Discard, Stderr: &logs, Getenv: func(name string) string { return map[string]string{"NO_COLOR": "1"}[name] }}
			code := p.Run(ctx, []string{
				"entry", "--region", "Morava", "--failure-domain", "Brno", "--listen", "127.0.0.1:0", "--http-listen", "127.0.0.1:0", "--log-format", format,
				"--tls-authority", files.Authority, "--tls-certificate", files.Certificate, "--tls-key", files.Key,
			})
			assert.Equal(t, code, ExitOK, logs.String())
			first, _, _ := strings.Cut(logs.String(), "\n")
			assert.Assert(t, isValid(first), first)
			assert.Assert(t, !strings.Contains(logs.String(), "\x1b"), logs.String())
		})
	}
}

// Guards against a request without an answer that is reported as not run, or as an error without its id.
func TestRequestWithoutAnswer(t *testing.T) {
	e := startEntry(t, nil)
	e.apply(nil)
	code, stdout, _ := e.run("request", "--workspace", "obec", "--class", "Sizing", "--id", "r1", "--timeout", "100ms")
	assert.Equal(t, code, ExitFailed)
	assert.Assert(t, strings.HasPrefix(stdout, "r1  Unknown  "), stdout)
	// Nothing listens on port 1, so that the request certainly went nowhere.
	code, stdout, _ = runProgram(t, "request", "--workspace", "obec", "--class", "Sizing", "--id", "r2", "--entry", "http://127.0.0.1:1")
	assert.Equal(t, code, ExitFailed)
	assert.Assert(t, strings.HasPrefix(stdout, "r2  NotRun  "), stdout)
}
