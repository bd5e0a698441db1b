package archiver_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"persimmontrail/internal/archiver"
	"persimmontrail/pkg/descriptor"
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

// TestDecodeMember guards against a process that is called at an address that another writer left, or that stands under
// the key of another process.
func TestDecodeMember(t *testing.T) {
	for _, test := range []struct {
		key    string
		member archiver.Member
		valid  bool
	}{
		{archiver.AgentKey("n1"), archiver.Member{Node: "n1", Address: "10.0.0.1:7000"}, true},
		{archiver.LeaderKey, archiver.Member{Node: "n1", Address: "host:7000"}, true},
		{archiver.AgentKey("n2"), archiver.Member{Node: "n1", Address: "10.0.0.1:7000"}, false},
		{archiver.EntryKey(""), archiver.Member{Address: "10.0.0.1:7000"}, false},
		{archiver.AgentKey("n1"), archiver.Member{Node: "n1", Address: "10.0.0.1:70000"}, false},
		{archiver.AgentKey("n1"), archiver.Member{Node: "n1", Address: "10.0.0.1:0"}, false},
		{archiver.AgentKey("n1"), archiver.Member{Node: "n1", Address: "10.0.0.1"}, false},
		{archiver.AgentKey("n1"), archiver.Member{Node: "n1"}, false},
	} {
		m, err := archiver.DecodeMember(archiver.Item{Key: test.key, Value: archiver.Encode(test.member)})
		if test.valid {
			assert.NilError(t, err)
			assert.Equal(t, m, test.member)
			continue
		}
		assert.ErrorIs(t, err, archiver.ErrMember, "%+v", test)
	}
	_, err := archiver.DecodeMember(archiver.Item{Key: archiver.LeaderKey, Value: []byte{0xff}})
	assert.ErrorIs(t, err, archiver.ErrMember)
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

// TestDocumentsKeepDueTimes guards against work that starts up to a second before its time, because the stored document
// cuts the due time to whole seconds.
func TestDocumentsKeepDueTimes(t *testing.T) {
	for _, ms := range []int64{0, 1, 999, 1765000000000, 1765000000001, 1765000000900, 1765000000999} {
		want := descriptor.Workload{Times: 3, FirstDue: time.UnixMilli(ms), Interval: 250 * time.Millisecond, Accepted: time.UnixMilli(ms)}
		var got descriptor.Workload
		assert.NilError(t, archiver.Decode(archiver.Encode(want), &got))
		for k := range want.Times {
			assert.Assert(t, got.Due(k).Equal(want.Due(k)), "%v became %v", want.Due(k), got.Due(k))
		}
		assert.Assert(t, got.Accepted.Equal(want.Accepted))
	}
}
