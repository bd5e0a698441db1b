package replayer

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
	"pgregory.net/rapid"
)

// committedTraces maps the name of each generated trace in testdata, without extension, to the options that generate it.
var committedTraces = map[string]GenerateOptions{
	"beaulieu-ordinary": {Deployment: Beaulieu, Seed: 1},
	"beaulieu-bad":      {Deployment: Beaulieu, Seed: 2, BadDay: true},
	"destovka-ordinary": {Deployment: Destovka, Seed: 3},
	"destovka-bad":      {Deployment: Destovka, Seed: 4, BadDay: true},
}

func encodeTrace(t testing.TB, tr Trace) []byte {
	var b bytes.Buffer
	assert.NilError(t, Write(&b, tr))
	return b.Bytes()
}

// TestGenerateMatchesCommittedTraces guards against a generator that gives a different trace for the same seed, so that new figures
// are not comparable with earlier ones.
func TestGenerateMatchesCommittedTraces(t *testing.T) {
	for name, o := range committedTraces {
		t.Run(name, func(t *testing.T) {
			data := encodeTrace(t, Generate(o))
			assert.Assert(t, len(data) < 400_000, "%d bytes", len(data))
			golden.AssertBytes(t, data, name+".jsonl")
			_, err := Read(bytes.NewReader(data))
			assert.NilError(t, err)
		})
	}
}

// TestTraceRoundTrip guards against fields that are lost between writing and reading.
func TestTraceRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		o := GenerateOptions{
			Deployment: rapid.SampledFrom([]string{Beaulieu, Destovka}).Draw(rt, "deployment"),
			BadDay:     rapid.Bool().Draw(rt, "bad"),
			Seed:       rapid.Uint64().Draw(rt, "seed"),
			Load:       rapid.Float64Range(0.01, 0.1).Draw(rt, "load"),
		}
		want := Generate(o)
		got, err := Read(bytes.NewReader(encodeTrace(t, want)))
		assert.NilError(rt, err)
		assert.DeepEqual(rt, got, want)
	})
}

const testHeader = `{"Format":"persimmontrail-trace/1","Name":"test","Deployment":"test","Start":"2026-11-03T06:00:00Z","Duration":"1h0m0s","CheckpointTime":"5s","Configuration":{"Revision":1,"AcceptedAt":"0001-01-01T00:00:00Z","Workspaces":[{"Name":"a","Guarantees":[{"Accelerators":8,"Adjacency":"Worker"}]},{"Name":"b","Guarantees":[{"Accelerators":8,"Adjacency":"Worker"}]}],"Classes":[{"Name":"Draft","FinishWithin":"10m0s","Share":1}],"FailureDomains":[{"Name":"d","Region":"r"}]},"Fleet":[{"ID":"w1","Rack":"k","FailureDomain":"d","Region":"r","Cores":64,"Memory":128000,"Accelerators":8,"Guard":true},{"ID":"w2","Rack":"k","FailureDomain":"d","Region":"r","Cores":64,"Memory":128000,"Accelerators":8,"Guard":true}]}` + "\n"

const testArrival = `{"At":"1s","Kind":"JobArrives","Job":{"ID":"j1","Workspace":"a","Class":"Draft","Tasks":1,"PerTask":{"Cores":1,"Memory":1,"Accelerators":8},"Adjacency":"Worker","DeclaredRunTime":"1m"},"RunTime":"1m"}` + "\n"

// TestFormatErrorPosition guards against errors that do not name the line and the field of a fault in a trace.
func TestFormatErrorPosition(t *testing.T) {
	arrival := func(from, to string) string { return testHeader + strings.Replace(testArrival, from, to, 1) }
	cases := map[string]struct{ text, want string }{
		"empty":                    {"", "trace line 1: no header"},
		"format":                   {strings.Replace(testHeader, "trace/1", "trace/9", 1), "trace line 1: field Format: "},
		"cores in the fleet":       {strings.Replace(testHeader, `"Cores":64`, `"Cores":"x"`, 1), "trace line 1: field Fleet.0.Cores: "},
		"level":                    {strings.Replace(testHeader, `"Worker"}]},{"Name":"b"`, `"Room"}]},{"Name":"b"`, 1), "trace line 1: field Configuration.Workspaces.0.Guarantees.0.Adjacency: "},
		"repeated worker":          {strings.Replace(testHeader, `"w2"`, `"w1"`, 1), "trace line 1: field Fleet.1.ID: "},
		"not JSON":                 {testHeader + "x\n", "trace line 2: invalid character"},
		"duration":                 {arrival(`"DeclaredRunTime":"1m"`, `"DeclaredRunTime":"soon"`), "trace line 2: field Job.DeclaredRunTime: "},
		"unknown field":            {arrival(`"Tasks"`, `"Task"`), `trace line 2: field Job: json: unknown field "Task"`},
		"tasks":                    {arrival(`"Tasks":1`, `"Tasks":257`), "trace line 2: field Job.Tasks: "},
		"run time":                 {arrival(`"RunTime":"1m"}`, `"RunTime":"0s"}`), "trace line 2: field RunTime: "},
		"order":                    {testHeader + testArrival + `{"At":"0s","Kind":"WorkerFails","Worker":"w1"}`, "trace line 3: field At: "},
		"repeated job":             {testHeader + testArrival + testArrival, "trace line 3: field Job.ID: "},
		"unknown worker":           {testHeader + `{"At":"0s","Kind":"WorkerFails","Worker":"w9"}`, "trace line 2: field Worker: "},
		"unknown domain":           {testHeader + `{"At":"0s","Kind":"FailureDomainOut","FailureDomain":"x"}`, "trace line 2: field FailureDomain: "},
		"cancelled before arrival": {testHeader + `{"At":"0s","Kind":"JobCancelled","Key":{"Workspace":"a","Job":"j1"}}`, "trace line 2: field Key: "},
		"kind":                     {testHeader + `{"At":"0s","Kind":"Rain"}`, "trace line 2: field Kind: "},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Read(strings.NewReader(c.text))
			assert.ErrorContains(t, err, c.want)
			var formatErr *FormatError
			assert.Assert(t, errors.As(err, &formatErr))
		})
	}
}

// FuzzRead guards against a reader that panics, and against one that accepts a trace which changes when it is written and read again.
func FuzzRead(f *testing.F) {
	f.Add([]byte(testHeader + testArrival))
	seed, err := os.ReadFile(filepath.Join("testdata", "destovka-bad.jsonl"))
	assert.NilError(f, err)
	f.Add(seed[:20_000])
	f.Fuzz(func(t *testing.T, data []byte) {
		first, err := Read(bytes.NewReader(data))
		if err != nil {
			return
		}
		second, err := Read(bytes.NewReader(encodeTrace(t, first)))
		assert.NilError(t, err)
		assert.DeepEqual(t, encodeTrace(t, second), encodeTrace(t, first))
	})
}
