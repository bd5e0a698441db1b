package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"persimmontrail/internal/coordinator"
	"persimmontrail/pkg/descriptor"
)

// shellBlocks matches the shell code blocks of a Markdown page.
var shellBlocks = regexp.MustCompile("(?ms)^```sh\n(.*?)^```$")

// TestCommandsOfOperatorsPage guards against commands on the operators' page that do not work as
// written.
func TestCommandsOfOperatorsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators.md")
	assert.NilError(t, err)
	blocks := shellBlocks.FindAllSubmatch(page, -1)
	// With fewer blocks, the pattern no longer matches all blocks of the page.
	assert.Assert(t, len(blocks) >= 9, "%d blocks", len(blocks))
	dir := t.TempDir()
	assert.NilError(t, os.CopyFS(filepath.Join(dir, "examples"), os.DirFS("../../examples")))

	s := newSystem(t)
	entry := s.startEntry(montreal)
	for i := range 3 {
		s.startVM(fmt.Sprint("montreal-", i), montreal)
	}
	s.startVM("sherbrooke", location{region: "qc-sud", failureDomain: "Sherbrooke", rack: "Sherbrooke-1"})
	s.eventually(10*time.Second, "four agents are known", func() error {
		var status struct{ Agents []struct{ State string } }
		if err := getJSON(entry.url+"/v1/status", &status); err != nil {
			return err
		}
		if len(status.Agents) != 4 {
			return fmt.Errorf("%d agents", len(status.Agents))
		}
		return nil
	})
	for i, b := range blocks {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		c := exec.CommandContext(ctx, "sh", "-exu", "-c", string(b[1]))
		c.Dir = dir
		c.Env = append(os.Environ(), "PATH="+binariesDir+string(os.PathListSeparator)+os.Getenv("PATH"), "PERSIMMONTRAIL_ENTRY="+entry.url)
		out, err := c.CombinedOutput()
		cancel()
		assert.NilError(t, err, "block %d:\n%s\n%s", i+1, b[1], out)
		if regexp.MustCompile(`(?m)^persimmontrail apply`).Match(b[1]) {
			s.awaitReadyAgents(entry, 4)
		}
	}
	s.eventually(10*time.Second, "the page's job ends", func() error {
		var jobStatus coordinator.JobStatus
		if err := getJSON(entry.url+"/v1/jobs/retouche/check-1", &jobStatus); err != nil {
			return err
		}
		if jobStatus.Result != descriptor.ResultDone {
			return fmt.Errorf("%s %s %s", jobStatus.State, jobStatus.Result, jobStatus.Reason)
		}
		return nil
	})
}
