package archiver_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"persimmontrail/internal/archiver"
)

// TestParseKey guards against keys that do not parse back to their kind and name: a new leader would miss those
// documents.
func TestParseKey(t *testing.T) {
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

// TestEncodeCompressesLargeDocuments guards against large documents that are stored uncompressed, against an encoding
// that decodes to another value, and against a truncated document that decodes without error.
func TestEncodeCompressesLargeDocuments(t *testing.T) {
	for _, size := range []int{0, 10, 255, 5000} {
		m := archiver.Member{Node: strings.Repeat("side-1 ", size/7), Address: "a"}
		data := archiver.Encode(m)
		assert.Assert(t, size < 1000 || len(data) < size/10, "%d bytes", len(data))
		var decoded archiver.Member
		assert.NilError(t, archiver.Decode(data, &decoded))
		assert.Equal(t, decoded, m)
		assert.Assert(t, archiver.Decode(data[:len(data)-1], &decoded) != nil)
	}
}

// FuzzDecode guards against a panic on a document that this package did not write.
func FuzzDecode(f *testing.F) {
	f.Add(archiver.Encode(archiver.Member{Node: "n"}))
	f.Add(archiver.Encode(archiver.Member{Node: strings.Repeat("n", 999)}))
	f.Fuzz(func(_ *testing.T, data []byte) {
		var m archiver.Member
		_ = archiver.Decode(data, &m)
	})
}
