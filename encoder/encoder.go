// Package encoder turns the fleet's typed messages into CBOR and back. The
// same rules serve records of the log and messages on peer links: maps with
// kebab-case text keys, sorted, so that equal values have equal bytes; unknown
// fields are skipped, so that an older instance reads a newer one's messages;
// and sizes are bounded before anything is allocated for them.
package encoder

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Bounds of one message.
const (
	maxElements = 1 << 17
	maxNesting  = 16
)

// Encode returns v as CBOR.
func Encode(v any) ([]byte, error) {
	data, err := encoding.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	return data, nil
}

// Decode fills v from CBOR. Data that is malformed, holds a key twice or
// passes the bounds is an error.
func Decode(data []byte, v any) error {
	if err := decoding.Unmarshal(data, v); err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	return nil
}

var (
	encoding = mustMode(cbor.EncOptions{Sort: cbor.SortBytewiseLexical, Time: cbor.TimeRFC3339Nano}.EncMode())
	decoding = mustMode(cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  maxNesting,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode())
)

// mustMode panics on options that contradict each other: those are constants
// above, so an error is a broken invariant of this file.
func mustMode[M any](mode M, err error) M {
	if err != nil {
		panic(err)
	}
	return mode
}
