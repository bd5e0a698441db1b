package validator

import (
	"encoding/json"
	"errors"
	"math"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"persimmontrail/pkg/descriptor"
)

// loadExample parses a configuration file from the examples directory.
func loadExample(t testing.TB, name string) *descriptor.Configuration {
	t.Helper()
	data, err := os.ReadFile("../../examples/" + name)
	assert.NilError(t, err)
	cfg, err := ParseConfiguration(data)
	assert.NilError(t, err)
	return cfg
}

// fieldsOf returns the names of the invalid fields in err, separated by spaces.
func fieldsOf(err error) string {
	var fieldErrors Errors
	var fields []string
	errors.As(err, &fieldErrors)
	for _, f := range fieldErrors {
		fields = append(fields, f.Field)
	}
	return strings.Join(fields, " ")
}

// TestConfigurationErrors guards against an invalid configuration that is accepted or reported with the wrong field.
func TestConfigurationErrors(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*descriptor.Configuration)
		want   string
	}{
		{"valid", func(*descriptor.Configuration) {}, ""},
		{"no failure domain", func(c *descriptor.Configuration) { c.FailureDomains, c.Fleet = nil, nil }, "FailureDomains"},
		{"failure domain twice", func(c *descriptor.Configuration) { c.FailureDomains[1].Name = "Brno" }, "FailureDomains[1].Name Fleet[2].FailureDomain Fleet[3].FailureDomain"},
		{"name with a slash", func(c *descriptor.Configuration) { c.Workspaces[0].Name = "a/b" }, "Workspaces[0].Name"},
		{"name with a space", func(c *descriptor.Configuration) { c.Classes[0].Name = "a b" }, "Classes[0].Name"},
		{"name too long", func(c *descriptor.Configuration) {
			c.Workspaces[0].Name = descriptor.WorkspaceID(strings.Repeat("x", MaxNameLength+1))
		}, "Workspaces[0].Name"},
		{"workspace twice", func(c *descriptor.Configuration) { c.Workspaces[1].Name = c.Workspaces[0].Name }, "Workspaces[1].Name"},
		{"class twice", func(c *descriptor.Configuration) { c.Classes[1].Name = c.Classes[0].Name }, "Classes[1].Name"},
		{"hash too short", func(c *descriptor.Configuration) { c.Workspaces[0].TokenHash = "00" }, "Workspaces[0].TokenHash"},
		{"hash not in hex", func(c *descriptor.Configuration) { c.Workspaces[0].TokenHash = strings.Repeat("z", 64) }, "Workspaces[0].TokenHash"},
		{"empty shape", func(c *descriptor.Configuration) { c.Workspaces[0].Guarantees[0].Accelerators = 0 }, "Workspaces[0].Guarantees[0].Accelerators"},
		{"negative count", func(c *descriptor.Configuration) { c.Workspaces[0].Guarantees[0].Count = -1 }, "Workspaces[0].Guarantees[0].Count"},
		{"unknown region", func(c *descriptor.Configuration) { c.Workspaces[0].Guarantees[0].Region = "Cechy" }, "Workspaces[0].Guarantees[0].Region"},
		{"share 0", func(c *descriptor.Configuration) { c.Classes[0].Share = 0 }, "Classes[0].Share"},
		{"share above 1", func(c *descriptor.Configuration) { c.Classes[0].Share = 1.01 }, "Classes[0].Share"},
		{"no target", func(c *descriptor.Configuration) { c.Classes[0].FinishWithin = 0 }, "Classes[0].FinishWithin"},
		{"target too long", func(c *descriptor.Configuration) {
			c.Classes[0].FinishWithin = descriptor.Duration(MaxFinishWithin + time.Second)
		}, "Classes[0].FinishWithin"},
		{"fleet in an unknown failure domain", func(c *descriptor.Configuration) { c.Fleet[0].FailureDomain = "Plzen" }, "Fleet[0].FailureDomain"},
		{"rack without workers", func(c *descriptor.Configuration) { c.Fleet[0].Workers = 0 }, "Fleet[0]"},
		{"shape larger than a worker", func(c *descriptor.Configuration) { c.Workspaces[3].Guarantees[0].Accelerators = 9 }, "Workspaces"},
		{"guarantees that fit only separately", func(c *descriptor.Configuration) { c.Workspaces[3].Guarantees[0].Count = 13 }, "Workspaces Workspaces"},
		{"failure domain out does not matter", func(c *descriptor.Configuration) { c.FailureDomains[0].Out = true }, ""},
		{"more shapes than can be checked", func(c *descriptor.Configuration) { c.Workspaces[3].Guarantees[0].Count = math.MaxInt }, "Workspaces"},
		{"more workers than can be checked", func(c *descriptor.Configuration) { c.Fleet[0].Racks, c.Fleet[0].Workers = math.MaxInt, math.MaxInt }, "Fleet"},
		{"more accelerators than can be counted", func(c *descriptor.Configuration) {
			c.Workspaces[3].Guarantees[0].Accelerators, c.Fleet[0].Accelerators = math.MaxInt, math.MaxInt
		}, "Workspaces[3].Guarantees[0].Accelerators Fleet[0].Accelerators"},
		{"several faults at once", func(c *descriptor.Configuration) { c.Classes[0].Share, c.Workspaces[0].Name = 2, "" }, "Workspaces[0].Name Classes[0].Share"},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg := loadExample(t, "destovka.json")
			c.change(cfg)
			err := CheckConfiguration(cfg, nil)
			assert.Equal(t, fieldsOf(err), c.want, "%v", err)
			assert.Equal(t, errors.Is(err, ErrInvalid), c.want != "")
		})
	}
}

// TestGuaranteesAreCheckedAgainstKnownWorkers guards against guarantees that are not checked if the configuration
// describes no fleet. They must then be checked against the known workers.
func TestGuaranteesAreCheckedAgainstKnownWorkers(t *testing.T) {
	cfg := loadExample(t, "destovka.json")
	workers := ExpectedWorkers(cfg)
	assert.Equal(t, len(workers), 11)
	cfg.Fleet = nil
	assert.NilError(t, CheckConfiguration(cfg, workers))
	assert.Equal(t, fieldsOf(CheckConfiguration(cfg, workers[:3]))[:len("Workspaces")], "Workspaces")
}

// TestJobAndRequestErrors guards against an invalid job or request that is accepted or reported with the wrong field.
func TestJobAndRequestErrors(t *testing.T) {
	cfg := loadExample(t, "destovka.json")
	job := func(change func(*descriptor.Job)) error {
		j := &descriptor.Job{
			ID: "j", Workspace: "obec", Class: "Survey", Region: "Čechy", Tasks: descriptor.MaxGang,
			PerTask: descriptor.Resources{Accelerators: 1}, DeclaredRunTime: 1, Payload: make([]byte, MaxPayload),
		}
		change(j)
		return CheckJob(j, cfg)
	}
	request := func(change func(*descriptor.Request)) error {
		r := &descriptor.Request{ID: "r", Workspace: "obec", Class: "Quote", Body: make([]byte, MaxBody)}
		change(r)
		return CheckRequest(r, cfg)
	}
	for name, err := range map[string]error{
		"Job valid":            job(func(*descriptor.Job) {}),
		"Job ID":               job(func(j *descriptor.Job) { j.ID = "" }),
		"Job Workspace Class":  job(func(j *descriptor.Job) { j.Workspace, j.Class = "x", "y" }),
		"Job Region":           job(func(j *descriptor.Job) { j.Region = "Cechy" }),
		"Job Tasks":            job(func(j *descriptor.Job) { j.Tasks = descriptor.MaxGang + 1 }),
		"Job DeclaredRunTime":  job(func(j *descriptor.Job) { j.DeclaredRunTime = 0 }),
		"Job Payload":          job(func(j *descriptor.Job) { j.Payload = make([]byte, MaxPayload+1) }),
		"Job PerTask":          job(func(j *descriptor.Job) { j.PerTask = descriptor.Resources{} }),
		"Job PerTask.Memory":   job(func(j *descriptor.Job) { j.PerTask.Memory = -1 }),
		"Request valid":        request(func(*descriptor.Request) {}),
		"Request ID":           request(func(r *descriptor.Request) { r.ID = "a\n" }),
		"Request Class":        request(func(r *descriptor.Request) { r.Class = "Survey" }),
		"Request Body":         request(func(r *descriptor.Request) { r.Body = make([]byte, MaxBody+1) }),
		"Request ID Workspace": request(func(r *descriptor.Request) { r.ID, r.Workspace = "", "x" }),
	} {
		_, wantFields, _ := strings.Cut(name, " ")
		if wantFields == "valid" {
			assert.NilError(t, err, name)
			continue
		}
		assert.Equal(t, fieldsOf(err), wantFields, name)
	}
}

// FuzzParseConfiguration guards against input that crashes the process, and against a configuration that changes when
// it is encoded and decoded again.
func FuzzParseConfiguration(f *testing.F) {
	for _, name := range []string{"beaulieu.json", "destovka.json"} {
		data, err := os.ReadFile("../../examples/" + name)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Add([]byte(`{"Classes":[{"FinishWithin":"1h","Share":1e-300}]} {}`))
	f.Add([]byte(`{"Workspaces":[{"Name":"a","Guarantees":[{"Accelerators":1,"Count":9223372036854775807}]}],"FailureDomains":[{"Name":"d","Region":"r"}],"Fleet":[{"FailureDomain":"d","Racks":1,"Workers":1,"Accelerators":1}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		cfg, err := ParseConfiguration(data)
		if err != nil {
			assert.Assert(t, errors.Is(err, ErrInvalid), "%v", err)
			return
		}
		if fitCheckCost(cfg) <= 10_000 {
			_ = CheckConfiguration(cfg, nil)
		}
		encoded, err := json.Marshal(cfg)
		assert.NilError(t, err)
		decoded, err := ParseConfiguration(encoded)
		assert.NilError(t, err)
		// The encoded forms are compared, because an empty list and a missing one are equivalent.
		reencoded, err := json.Marshal(decoded)
		assert.NilError(t, err)
		assert.Equal(t, string(reencoded), string(encoded))
	})
}

// fitCheckCost estimates the cost of checking that guarantees fit, as copies times workers. Near
// MaxGuaranteeCopies and MaxWorkers the check takes 2 s, and far longer with fuzzing instrumentation.
func fitCheckCost(cfg *descriptor.Configuration) float64 {
	copyCount, workerCount := 1.0, 1.0
	for _, w := range cfg.Workspaces {
		for _, s := range w.Guarantees {
			copyCount += float64(s.Copies())
		}
	}
	for _, r := range cfg.Fleet {
		workerCount += float64(r.Racks) * float64(r.Workers)
	}
	return copyCount * workerCount
}
