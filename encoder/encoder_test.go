package encoder_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"lagoonstile/encoder"
)

type newer struct {
	Name  string `cbor:"1,keyasint"`
	Added []int  `cbor:"9,keyasint"`
}

type older struct {
	Name string `cbor:"1,keyasint"`
}

// TestOlderInstanceReadsNewerMessages checks that unknown map keys are skipped.
func TestOlderInstanceReadsNewerMessages(t *testing.T) {
	data, err := encoder.Encode(newer{Name: "a", Added: []int{1, 2}})
	if err != nil {
		t.Fatal(err)
	}
	var got older
	if err := encoder.Decode(data, &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(older{Name: "a"}, got); diff != "" {
		t.Error(diff)
	}
}

// TestMalformedMessages checks that malformed and oversized data, such as a hostile
// sender may produce, is rejected.
func TestMalformedMessages(t *testing.T) {
	nested := []byte{0xa1, 0x01}
	for range 100 {
		nested = append(nested, 0x81)
	}
	tests := []struct {
		name string
		data []byte
	}{
		{"empty", nil},
		{"truncated", []byte{0xa1, 0x01}},
		{"duplicate key", []byte{0xa2, 0x01, 0x61, 'a', 0x01, 0x61, 'b'}},
		{"array of 2^32-1 elements", []byte{0xa1, 0x01, 0x9a, 0xff, 0xff, 0xff, 0xff}},
		{"nested too deeply", append(nested, 0x01)},
		{"trailing bytes", append(must(cbor.Marshal(older{Name: "a"})), 0x00)},
	}
	for _, test := range tests {
		var got older
		if err := encoder.Decode(test.data, &got); err == nil {
			t.Errorf("%s: decoded as %+v", test.name, got)
		}
	}
}

func must(data []byte, err error) []byte {
	if err != nil {
		panic(err)
	}
	return data
}
