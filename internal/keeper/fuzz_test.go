package keeper

import (
	"encoding/json"
	"reflect"
	"testing"
)

// fuzzDecoder guards against a decoder that panics or accepts what it cannot write again and read to the same value.
func fuzzDecoder[T any](f *testing.F, decode func([]byte) (T, error), seeds ...string) {
	for _, s := range seeds {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		v, err := decode(data)
		if err != nil {
			return
		}
		again, err := json.Marshal(v)
		if err != nil {
			return // A year over 9999 in a time has no JSON form.
		}
		w, err := decode(again)
		if err != nil {
			t.Fatalf("%q is read, but written as %q: %v", data, again, err)
		}
		once, _ := json.Marshal(w)
		if !reflect.DeepEqual(once, again) {
			t.Fatalf("%q became %q", again, once)
		}
	})
}

func FuzzDecodeValue(f *testing.F) {
	fuzzDecoder(f, func(b []byte) (valueAnswer, error) {
		data, v, err := decodeValue(b)
		return valueAnswer{data, v}, err
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
