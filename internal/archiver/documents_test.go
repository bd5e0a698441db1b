package archiver_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"persimmontrail/internal/archiver"
)

// Keys must lead back to their kind and name, or documents would be lost at a takeover.
func TestKeysParse(t *testing.T) {
	for key, want := range map[string]struct {
		kind archiver.Kind
		name string
	}{
		archiver.JobKey("j1"):      {archiver.KindJob, "j1"},
		archiver.ProgressKey("j1"): {archiver.KindProgress, "j1"},
		archiver.AgentKey("n1"):    {archiver.KindAgent, "n1"},
		archiver.EntryKey("n1"):    {archiver.KindEntry, "n1"},
		archiver.LeaderKey:         {archiver.KindLeader, ""},
		"other/key":                {archiver.KindOther, ""},
	} {
		kind, name := archiver.ParseKey(key)
		assert.Equal(t, kind, want.kind, key)
		assert.Equal(t, name, want.name, key)
	}
}
