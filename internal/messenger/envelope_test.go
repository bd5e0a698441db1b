package messenger

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against frames that decode into more than MaxMessageSize, into another message than was sent, or panic.
func FuzzFrames(f *testing.F) {
	f.Add(appendFrame(appendFrame(nil, framePart, []byte("ab")), frameRequest, []byte("c")))
	f.Add(appendFrame(nil, framePing, nil))
	f.Add([]byte{byte(frameRequest), 0xff, 0xff, 0xff, 0xff, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		fr := frameReader{r: bytes.NewReader(data)}
		for {
			kind, message, err := fr.next(nil)
			if err != nil {
				return
			}
			if kind != frameRequest && kind != frameAnswer {
				assert.Assert(t, message == nil)
				continue
			}
			assert.Assert(t, len(message) <= len(data))
			var again bytes.Buffer
			assert.NilError(t, frames(kind, message, func(b []byte) error { again.Write(b); return nil }))
			assert.Equal(t, again.Len(), wireSize(message))
			_, same, err := (&frameReader{r: &again}).next(nil)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(same, message))
		}
	})
}

// Guards against envelopes that panic, and against requests without a kind or of another version that reach a handler.
func FuzzEnvelope(f *testing.F) {
	f.Add(must(encodeRequest(KindHold, time.Second, Hold{Members: 2})))
	f.Add(encodeAnswer(GangAnswer{OK: true}))
	f.Add(refusal(&RemoteError{Code: CodeOverloaded}))
	f.Fuzz(func(t *testing.T, data []byte) {
		if r, err := decodeRequest(data); err == nil {
			assert.Assert(t, r.Version == protocolVersion && r.Kind != "" && r.Timeout >= 0)
			var h Hold
			_ = Decode(r.Body, &h)
		}
		if a, err := decodeAnswer(data); err == nil {
			assert.Equal(t, a.Version, protocolVersion)
			var g GangAnswer
			_ = Decode(a.Body, &g)
		}
	})
}

// Guards against memory allocated for sizes that a peer merely claims.
func TestSizesAreCheckedBeforeAllocation(t *testing.T) {
	frame := []byte{byte(frameRequest), 0xff, 0xff, 0xff, 0xff}
	allocated := testing.AllocsPerRun(10, func() {
		_, _, err := (&frameReader{r: bytes.NewReader(frame)}).next(nil)
		assert.Assert(t, errors.Is(err, ErrTooLarge))
	})
	assert.Assert(t, allocated < 20)

	part := appendFrame(nil, framePart, make([]byte, partSize))
	endless := io.MultiReader(bytes.NewReader(bytes.Repeat(part, MaxMessageSize/partSize)), bytes.NewReader(part))
	fr := frameReader{r: endless}
	_, _, err := fr.next(nil)
	assert.Assert(t, errors.Is(err, ErrTooLarge))
	assert.Equal(t, len(fr.message), MaxMessageSize)
}

// Guards against times and durations that change on the way.
func TestTimesKeepTheirPrecision(t *testing.T) {
	want := TaskReport{StartedAt: time.Date(2026, 1, 2, 3, 4, 5, 123456789, time.UTC)}
	r, err := decodeRequest(must(encodeRequest(KindReport, time.Minute, want)))
	assert.NilError(t, err)
	var got TaskReport
	assert.NilError(t, Decode(r.Body, &got))
	assert.Assert(t, got.StartedAt.Equal(want.StartedAt))
	var zero TaskReport
	r, err = decodeRequest(must(encodeRequest(KindReport, 0, zero)))
	assert.NilError(t, err)
	assert.NilError(t, Decode(r.Body, &got))
	got = TaskReport{}
	assert.NilError(t, Decode(r.Body, &got))
	assert.Assert(t, got.StartedAt.IsZero())
}
