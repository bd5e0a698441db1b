// Package encoder encodes what the programs store and what they send to one another. The form is CBOR.
package encoder

import "github.com/fxamacker/cbor/v2"

// mode keeps times to the nanosecond. The default of the library cuts them to whole seconds.
var mode = newMode()

func newMode() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		// EncMode fails only for invalid options.
		panic(err)
	}
	return m
}

// Marshal returns the encoding of value.
func Marshal(value any) ([]byte, error) { return mode.Marshal(value) }

// Unmarshal decodes data into the value that value points to. It also reads times that were encoded as Unix seconds.
func Unmarshal(data []byte, value any) error { return cbor.Unmarshal(data, value) }
