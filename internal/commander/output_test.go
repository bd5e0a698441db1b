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

// TestEveryCommandPrintsJSON guards against commands that print other text than JSON with --output json.
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
		// The request fails, since the entry has no endpoint to send it to.
		if args[0] != "request" {
			assert.Equal(t, code, ExitOK, "%v: %s", args, stderr)
		}
		assert.Assert(t, json.Valid([]byte(stdout)), "%v: %s", args, stdout)
	}
}

// TestTokenCommand guards against overwriting a token file that is in use, and against printing the token
// itself or a hash that does not belong to it.
func TestTokenCommand(t *testing.T) {
	tokenFile := filepath.Join(t.TempDir(), "token")
	code, stdout, stderr := runProgram(t, "keys", "token", "--out", tokenFile)
	assert.Equal(t, code, ExitOK, stderr)
	token, err := readToken("token-file", tokenFile)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(stdout, hashToken(token)), stdout)
	assert.Assert(t, !strings.Contains(stdout, token))
	code, _, stderr = runProgram(t, "keys", "token", "--out", tokenFile)
	assert.Equal(t, code, ExitUsage)
	assert.Assert(t, strings.Contains(stderr, "out:"), stderr)
	tokenAfter, err := readToken("token-file", tokenFile)
	assert.NilError(t, err)
	assert.Equal(t, tokenAfter, token)
}

// TestLogFormats guards against a first log line that is not in the selected format, and against colours
// despite NO_COLOR.
func TestLogFormats(t *testing.T) {
	authority, err := issuer.NewAuthority()
	assert.NilError(t, err)
	files, err := authority.WriteCredentials(t.TempDir(), messenger.RoleEntry, "entry")
	assert.NilError(t, err)
	for format, isValid := range map[string]func(line string) bool{
		"json":   func(l string) bool { return json.Valid([]byte(l)) },
		"logfmt": func(l string) bool { return strings.HasPrefix(l, "time=") && strings.Contains(l, " level=info ") },
		"text":   func(l string) bool { return strings.Contains(l, " INFO entry: ") },
	} {
		t.Run(format, func(t *testing.T) {
			// The context is cancelled, so that the entry stops at once after it has started and logged.
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			var logs bytes.Buffer
			p := &Program{Stdout: io.Discard, Stderr: &logs, Getenv: func(name string) string { return map[string]string{"NO_COLOR": "1"}[name] }}
			code := p.Run(ctx, []string{
				"entry", "--region", "Morava", "--failure-domain", "Brno", "--listen", "127.0.0.1:0", "--http-listen", "127.0.0.1:0", "--log-format", format,
				"--tls-authority", files.Authority, "--tls-certificate", files.Certificate, "--tls-key", files.Key,
			})
			assert.Equal(t, code, ExitOK, logs.String())
			firstLine, _, _ := strings.Cut(logs.String(), "\n")
			assert.Assert(t, isValid(firstLine), firstLine)
			assert.Assert(t, !strings.Contains(logs.String(), "\x1b"), logs.String())
		})
	}
}

// TestRequestWithoutAnswer guards against reporting NotRun for a request that reached the entry but was not
// answered in time, against reporting anything else if no connection was established, and against output
// without the id of the request.
func TestRequestWithoutAnswer(t *testing.T) {
	e := startEntry(t, nil)
	e.apply(nil)
	code, stdout, _ := e.run("request", "--workspace", "obec", "--class", "Sizing", "--id", "r1", "--timeout", "100ms")
	assert.Equal(t, code, ExitFailed)
	assert.Assert(t, strings.HasPrefix(stdout, "r1  Unknown  "), stdout)
	// Nothing listens on port 1, so it is certain that the request has not run.
	code, stdout, _ = runProgram(t, "request", "--workspace", "obec", "--class", "Sizing", "--id", "r2", "--entry", "http://127.0.0.1:1")
	assert.Equal(t, code, ExitFailed)
	assert.Assert(t, strings.HasPrefix(stdout, "r2  NotRun  "), stdout)
}
