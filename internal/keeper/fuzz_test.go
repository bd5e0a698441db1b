package keeper

import (
	"encoding/json"
	"reflect"
	"testing"
)

// fuzzDecoder guards against a decode function that panics, or that returns a value which changes when it is encoded
// and decoded again.
func fuzzDecoder[T any](f *testing.F, decode func([]byte) (T, error), seeds ...string) {
	for _, s := range seeds {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		v, err := decode(data)
		if err != nil {
			return
		}
		encoded, err := json.Marshal(v)
		if err != nil {
			return // A time with a year over 9999 cannot be encoded as JSON.
		}
		decoded, err := decode(encoded)
		if err != nil {
			t.Fatalf("%q was decoded, but its encoding %q was not: %v", data, encoded, err)
		}
		reencoded, _ := json.Marshal(decoded)
		if !reflect.DeepEqual(reencoded, encoded) {
			t.Fatalf("%q changed to %q after decoding and encoding", encoded, reencoded)
		}
	})
}

func FuzzDecodeValue(f *testing.F) {
	fuzzDecoder(f, func(b []byte) (valueResponse, error) {
		data, v, err := decodeValue(b)
		return valueResponse{data, v}, err
	}, `{"Data":"e30=","Version":3}`, `{"Version":0}`)
}

func FuzzDecodeList(f *testing.F) {
	f.Add([]byte(`{"Items":{"a":{"Data":"e30=","Version":3}}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		items, err := decodeList(data)
		if (items == nil) != (err != nil) {
			t.Fatalf("items %v with error %v", items, err)
		}
	})
}

func FuzzDecodeConfiguration(f *testing.F) {
	fuzzDecoder(f, decodeConfiguration, `{"Revision":3,"Classes":[{"Name":"a","FinishWithin":"3s"}],"History":[{"WriteID":"1"}]}`)
}

func FuzzDecodeJobs(f *testing.F) {
	fuzzDecoder(f, func(b []byte) (jobBucket, error) { return decodeJobs("k", b) },
		`{"Writers":{"a":{"Sequence":1}},"Jobs":{"w/a":{"Job":{"ID":"a","Adjacency":"Rack"},"State":"Queued"}}}`)
}

func FuzzDecodeClaims(f *testing.F) {
	fuzzDecoder(f, decodeClaims, `{"Claims":{"w/a":{"Owner":"e","Result":"Done"}}}`)
}

func FuzzDecodeTerm(f *testing.F) {
	fuzzDecoder(f, func(b []byte) (termDocument, error) { return decodeTerm("k", b) }, `{"Entry":"a","Lease":"L1"}`)
}
