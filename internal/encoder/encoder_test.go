package encoder

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestTimesAreKept guards against a time that changes when it is stored or sent: a due time that is cut to seconds lets
// work start up to a second early.
func TestTimesAreKept(t *testing.T) {
	type document struct {
		Due  time.Time `json:",omitzero"`
		List []time.Time
	}
	check := func(t assert.TestingT, want time.Time) {
		data, err := Marshal(document{want, []time.Time{want}})
		assert.NilError(t, err)
		var got document
		assert.NilError(t, Unmarshal(data, &got))
		assert.Assert(t, got.Due.Equal(want) && got.List[0].Equal(want), "%v became %v and %v", want, got.Due, got.List[0])
	}
	for _, want := range []time.Time{
		{},
		time.UnixMilli(1765000000900), time.UnixMilli(1), time.Unix(0, 1), time.Date(9999, 12, 31, 23, 59, 59, 999999999, time.UTC),
		time.Date(2026, 12, 6, 3, 0, 0, 123456789, time.FixedZone("", 3600)),
	} {
		check(t, want)
	}
	rapid.Check(t, func(t *rapid.T) {
		check(t, time.Unix(rapid.Int64Range(0, 250_000_000_000).Draw(t, "seconds"), rapid.Int64Range(0, 999_999_999).Draw(t, "nanoseconds")))
	})
}

// TestFormerTimesAreRead guards against stored documents that cannot be read any more after an upgrade: they hold times as
// Unix seconds.
func TestFormerTimesAreRead(t *testing.T) {
	want := time.Unix(1765000000, 0)
	data, err := cbor.Marshal(struct{ Due time.Time }{want})
	assert.NilError(t, err)
	var got struct{ Due time.Time }
	assert.NilError(t, Unmarshal(data, &got))
	assert.Assert(t, got.Due.Equal(want))
}

// TestOnlyEncoderEncodes guards against a second way to encode what is stored or sent, with other options. The programs
// of package messenger have a form of their own.
func TestOnlyEncoderEncodes(t *testing.T) {
	const library = `"github.com/fxamacker/cbor/v2"`
	root := filepath.Join("..", "..")
	found := 0
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, i := range file.Imports {
			if i.Path.Value != library {
				continue
			}
			found++
			relative, err := filepath.Rel(root, path)
			assert.NilError(t, err)
			folder := filepath.ToSlash(filepath.Dir(relative))
			assert.Assert(t, folder == "internal/encoder" || folder == "internal/messenger", "%s uses the library itself", relative)
		}
		return nil
	})
	assert.NilError(t, err)
	assert.Assert(t, found >= 2)
}
