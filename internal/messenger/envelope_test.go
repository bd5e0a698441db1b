package messenger

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// FuzzFrames guards against a frameReader that panics on malformed input or returns a message larger than the input,
// and against a message that changes when it is divided into frames and read again.
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

// FuzzEnvelope guards against a decoder that panics on malformed input, or that accepts a request without a kind, with
// a negative timeout or with another protocol version. Such a request would reach a handler.
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

// TestSizesCheckedBeforeAllocation guards against a reader that trusts the size in a frame header, or that collects
// part frames beyond MaxMessageSize. A remote process could then exhaust the memory; a header that states a large
// size takes only 5 bytes.
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

// TestTimesKeepNanoseconds guards against a time encoding that drops the nanoseconds, or that turns the zero time into
// another time.
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
