// Package encoder encodes and decodes the records of the log and the messages
// between instances as CBOR. Records of the log are maps with text keys, given by
// json tags. Messages are maps with integer keys, given by cbor tags, and some of
// the values in them are arrays. Map keys are sorted, so that equal values have
// equal encodings. Unknown map keys are skipped, so that an older instance can read
// the messages of a newer one. Sizes are checked before memory is allocated for
// them.
package encoder

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Limits of one record or message.
const (
	maxElements = 1 << 17
	maxNesting  = 16
)

// Encode returns the CBOR encoding of v.
func Encode(v any) ([]byte, error) {
	data, err := encMode.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	return data, nil
}

// Decode decodes CBOR data into v. It returns an error if the data is malformed,
// has a duplicate map key or an item of indefinite length, or exceeds the limits.
func Decode(data []byte, v any) error {
	if err := decMode.Unmarshal(data, v); err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	return nil
}

var (
	encMode = mustMode(cbor.EncOptions{Sort: cbor.SortBytewiseLexical, Time: cbor.TimeRFC3339Nano}.EncMode())
	decMode = mustMode(cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  maxNesting,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode())
)

// mustMode returns the mode, or panics if err is not nil. The options are fixed, so
// an error means that they contradict each other.
func mustMode[M any](mode M, err error) M {
	if err != nil {
		panic(err)
	}
	return mode
}
