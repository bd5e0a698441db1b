package commander

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"persimmontrail/internal/replayer"
	"persimmontrail/pkg/descriptor"
)

// runProgram runs a command in the test process, without input and without NO_COLOR.
func runProgram(t *testing.T, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	var out, errs bytes.Buffer
	p := &Program{Stdin: strings.NewReader(""), Stdout: &out, Stderr: &errs, Getenv: func(string) string { return "" }}
	code = p.Run(t.Context(), args)
	return code, out.String(), errs.String()
}

// TestReplayNamesMissedOutcomes guards against a replay that succeeds although it missed outcomes, against an
// error that does not name them, and against a plot or report that is not written because of them.
func TestReplayNamesMissedOutcomes(t *testing.T) {
	traceFile := "../replayer/testdata/fault-occupied-shape.jsonl"
	data, err := os.ReadFile(traceFile)
	assert.NilError(t, err)
	header, events, _ := strings.Cut(string(data), "\n")
	// Make the target shorter than the run times, so that no policy can meet it.
	header = strings.Replace(header, `"FinishWithin":"2m0s"`, `"FinishWithin":"1ms"`, 1)
	header = strings.Replace(header, `"Outcomes":[`, `"Outcomes":[{"Name":"UrgentWithinTargetAtP99","Class":"Preview"},`, 1)
	impossibleFile := filepath.Join(t.TempDir(), "impossible.jsonl")
	assert.NilError(t, os.WriteFile(impossibleFile, []byte(header+"\n"+events), 0o600))
	plotFile := filepath.Join(t.TempDir(), "day.svg")
	reportFile := filepath.Join(t.TempDir(), "day.json")
	code, stdout, stderr := runProgram(t, "replay", "--trace", impossibleFile, "--plot", plotFile, "--report", reportFile)
	assert.Equal(t, code, ExitFailed)
	assert.Assert(t, strings.Contains(stdout, "UrgentWithinTargetAtP99"), stdout)
	assert.Assert(t, strings.Contains(stderr, "outcome UrgentWithinTargetAtP99"), stderr)
	for _, file := range []string{plotFile, reportFile} {
		info, err := os.Stat(file)
		assert.NilError(t, err)
		assert.Assert(t, info.Size() > 1000, file)
	}
}

// TestReplayReportsAllInvalidFlags guards against errors that name only the first invalid flag.
func TestReplayReportsAllInvalidFlags(t *testing.T) {
	code, _, stderr := runProgram(t, "replay", "--policy", "best", "--plot", "x.pdf", "--speed", "-1", "--output", "yaml")
	assert.Equal(t, code, ExitUsage)
	for _, field := range []string{"trace:", "policy:", "plot:", "speed:", "output:"} {
		assert.Assert(t, strings.Contains(stderr, field), "%s is missing in:\n%s", field, stderr)
	}
}

// TestGeneratedTraceReplays guards against a trace generator that is not deterministic, or whose traces the
// command replay rejects, and against a replay of a single policy that does not show its outcomes as unchecked.
func TestGeneratedTraceReplays(t *testing.T) {
	traceFile := filepath.Join(t.TempDir(), "day.jsonl")
	code, _, stderr := runProgram(t, "trace", "generate", "--deployment", "destovka", "--day", "bad", "--seed", "4", "--out", traceFile)
	assert.Equal(t, code, ExitOK, stderr)
	data, err := os.ReadFile(traceFile)
	assert.NilError(t, err)
	_, stdout, _ := runProgram(t, "trace", "generate", "--deployment", "destovka", "--day", "bad", "--seed", "4")
	assert.Equal(t, stdout, string(data))
	code, stdout, stderr = runProgram(t, "replay", "--trace", traceFile, "--policy", "guaranteed")
	assert.Equal(t, code, ExitOK, stderr)
	assert.Assert(t, strings.Contains(stdout, "unchecked"), stdout)
}

// TestReplaySubmitsOnlyWithSpeed guards against a replay without --speed that submits jobs to the
// entry in PERSIMMONTRAIL_ENTRY, which is set for other commands.
func TestReplaySubmitsOnlyWithSpeed(t *testing.T) {
	e := startEntry(t, nil)
	e.apply(nil)
	traceFile := filepath.Join(t.TempDir(), "day.jsonl")
	code, _, stderr := runProgram(t, "trace", "generate", "--deployment", "destovka", "--out", traceFile)
	assert.Equal(t, code, ExitOK, stderr)
	t.Setenv("PERSIMMONTRAIL_ENTRY", e.url)
	before := e.snapshot()
	code, _, stderr = runProgram(t, "replay", "--trace", traceFile, "--policy", "guaranteed")
	assert.Equal(t, code, ExitOK, stderr)
	assert.Equal(t, e.snapshot(), before)
}

// TestLiveReplayNamesUnfinishedJobs guards against a replay against a running entry that succeeds, or does not name
// the job, although the entry has run none because it has no agents.
func TestLiveReplayNamesUnfinishedJobs(t *testing.T) {
	e := startEntry(t, nil)
	e.apply(nil)
	cfg := exampleConfiguration(t)
	job := descriptor.Job{ID: "j1", Workspace: "obec", Class: "Survey", Region: "Morava", Tasks: 1, PerTask: descriptor.Resources{Accelerators: 1}, DeclaredRunTime: descriptor.Duration(time.Second)}
	trace := replayer.Trace{
		Header: replayer.Header{
			Format: replayer.Format, Name: "no workers", Duration: descriptor.Duration(time.Minute), Configuration: cfg,
			Fleet: []descriptor.Worker{{ID: "w1", Rack: "r1", FailureDomain: "Brno", Region: "Morava", Accelerators: 8}},
		},
		Events: []replayer.Event{{Kind: replayer.JobArrives, Job: &job, RunTime: descriptor.Duration(time.Second)}},
	}
	var b bytes.Buffer
	assert.NilError(t, replayer.Write(&b, trace))
	code, stdout, stderr := e.run("replay", "--trace", writeTestFile(t, b.String()), "--speed", "100", "--drain", "100ms")
	assert.Equal(t, code, ExitFailed, stdout)
	assert.Assert(t, strings.Contains(stderr, "accepted without an end: obec/j1"), stderr)
}
