package peerws

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/auburndyke/auburndyke/internal/ports"
)

const (
	// MaxFrameBytes is the largest encoded frame that is read or written.
	MaxFrameBytes = 8 << 20
	// maxNesting admits a frame's list of groups of lists and leaves one level
	// for later versions.
	maxNesting       = 6
	maxArrayElements = 1 << 16
	maxMapPairs      = 64
)

// ErrFrameTooLarge means that a frame exceeds MaxFrameBytes.
var ErrFrameTooLarge = errors.New("frame exceeds the size limit")

var encoder = mustEncoder()

var decoder = mustDecoder()

func mustEncoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		UTF8:             cbor.UTF8RejectInvalid,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the CBOR form of a frame. It fails with ErrFrameTooLarge.
func Encode(frame *ports.Frame) ([]byte, error) {
	data, err := encoder.Marshal(toWire(frame))
	if err != nil {
		return nil, fmt.Errorf("encode frame: %w", err)
	}
	if len(data) > MaxFrameBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrFrameTooLarge, len(data))
	}
	return data, nil
}

// Decode parses a frame. Unknown keys are ignored, so that a later version may
// add parts.
func Decode(data []byte) (ports.Frame, error) {
	if len(data) > MaxFrameBytes {
		return ports.Frame{}, fmt.Errorf("%w: %d bytes", ErrFrameTooLarge, len(data))
	}
	var wire wireFrame
	if err := decoder.Unmarshal(data, &wire); err != nil {
		return ports.Frame{}, fmt.Errorf("decode frame: %w", err)
	}
	return fromWire(&wire), nil
}
