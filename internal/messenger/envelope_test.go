package messenger

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// FuzzFrames checks that frameReader does not panic, that a message is not larger than the input, and that encoding and
// decoding it again does not change it.
func FuzzFrames(f *testing.F) {
	f.Add(appendFrame(appendFrame(nil, framePart, []byte("ab")), frameRequest, []byte("c")))
	f.Add(appendFrame(nil, framePing, nil))
	f.Add([]byte{byte(frameRequest), 0xff, 0xff, 0xff, 0xff, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		frames := frameReader{source: bytes.NewReader(data)}
		for {
			typ, message, err := frames.next(nil)
			if err != nil {
				return
			}
			if typ != frameRequest && typ != frameAnswer {
				assert.Assert(t, message == nil)
				continue
			}
			assert.Assert(t, len(message) <= len(data))
			var reencoded bytes.Buffer
			assert.NilError(t, writeFrames(typ, message, func(b []byte) error { reencoded.Write(b); return nil }))
			assert.Equal(t, reencoded.Len(), wireSize(message))
			_, decoded, err := (&frameReader{source: &reencoded}).next(nil)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(decoded, message))
		}
	})
}

// FuzzEnvelope checks that decoding an envelope does not panic, and that requests without a kind or with another protocol
// version, which must not reach a handler, are not decoded.
func FuzzEnvelope(f *testing.F) {
	f.Add(must(encodeRequest(KindHold, time.Second, HoldRequest{Members: 2})))
	f.Add(encodeAnswer(GangAnswer{OK: true}))
	f.Add(encodeRefusal(&RemoteError{Code: CodeOverloaded}))
	f.Fuzz(func(t *testing.T, data []byte) {
		if r, err := decodeRequest(data); err == nil {
			assert.Assert(t, r.Version == protocolVersion && r.Kind != "" && r.Timeout >= 0)
			var h HoldRequest
			_ = Decode(r.Body, &h)
		}
		if a, err := decodeAnswer(data); err == nil {
			assert.Equal(t, a.Version, protocolVersion)
			var g GangAnswer
			_ = Decode(a.Body, &g)
		}
	})
}

// TestSizesCheckedBeforeAllocation checks that no memory is allocated for a size in a frame header or a series of parts
// that exceeds the limit. Otherwise a remote process could exhaust the memory with a few bytes.
func TestSizesCheckedBeforeAllocation(t *testing.T) {
	oversizedHeader := []byte{byte(frameRequest), 0xff, 0xff, 0xff, 0xff}
	allocations := testing.AllocsPerRun(10, func() {
		_, _, err := (&frameReader{source: bytes.NewReader(oversizedHeader)}).next(nil)
		assert.Assert(t, errors.Is(err, ErrTooLarge))
	})
	assert.Assert(t, allocations < 20)

	part := appendFrame(nil, framePart, make([]byte, maxFramePayload))
	oversizedMessage := io.MultiReader(bytes.NewReader(bytes.Repeat(part, MaxMessageSize/maxFramePayload)), bytes.NewReader(part))
	frames := frameReader{source: oversizedMessage}
	_, _, err := frames.next(nil)
	assert.Assert(t, errors.Is(err, ErrTooLarge))
	assert.Equal(t, len(frames.buffered), MaxMessageSize)
}

// TestTimesKeepNanoseconds checks that encoding and decoding keep the nanoseconds of a time, and the zero time.
func TestTimesKeepNanoseconds(t *testing.T) {
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
