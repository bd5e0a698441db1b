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

// maxMessageElements bounds each list of a message. A list element of one byte can be hundreds of bytes when decoded; the
// longest lists, the steps of a workload, have 4,096 elements.
const maxMessageElements = 8192

// messageMode is the mode for messages that any client may have sent.
var messageMode = newMessageMode()

func newMessageMode() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: maxMessageElements, MaxMapPairs: maxMessageElements}.DecMode()
	if err != nil {
		// DecMode fails only for invalid options.
		panic(err)
	}
	return m
}

// UnmarshalMessage decodes a message as Unmarshal does, but refuses lists of more than 8,192 elements.
func UnmarshalMessage(data []byte, value any) error { return messageMode.Unmarshal(data, value) }

// Unmarshal decodes data into the value that value points to. It also reads times that were encoded as Unix seconds.
func Unmarshal(data []byte, value any) error { return cbor.Unmarshal(data, value) }
