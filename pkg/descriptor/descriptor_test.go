package descriptor

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestUnitsRoundTripJSON guards against a unit that is encoded in one form and decoded in another.
func TestUnitsRoundTripJSON(t *testing.T) {
	want := Class{Name: "Preview", FinishWithin: Duration(90 * time.Second), Share: 0.5, Service: "fit"}
	data, err := json.Marshal(want)
	assert.NilError(t, err)
	var got Class
	assert.NilError(t, json.Unmarshal(data, &got))
	assert.Equal(t, got, want)

	shape := Shape{Accelerators: 8, Adjacency: LevelRack}
	data, err = json.Marshal(shape)
	assert.NilError(t, err)
	assert.Equal(t, string(data), `{"Accelerators":8,"Adjacency":"Rack"}`)
}

// TestUnmarshalUnknownLevel guards against an unknown level that is decoded as the loosest one.
func TestUnmarshalUnknownLevel(t *testing.T) {
	var l Level
	assert.ErrorContains(t, l.UnmarshalText([]byte("Room")), "unknown level")
}
