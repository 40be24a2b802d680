// Package deflate compresses the large values that daemons send each other.
package deflate

import (
	"bytes"
	"compress/flate"
	"io"

	"spoolswitch/internal/codes"
)

const (
	// worthFrom is the size in bytes from which on a value is compressed.
	worthFrom = 1 << 10
	// inflatedMost bounds what a compressed value may become, in bytes.
	inflatedMost = 64 << 20
)

// Pack compresses a value; packed is false, and the value returned as it is, if
// that would not make it smaller.
func Pack(val []byte) (out []byte, packed bool) {
	if len(val) < worthFrom {
		return val, false
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return val, false
	}
	if _, err := w.Write(val); err != nil {
		return val, false
	}
	if w.Close() != nil || b.Len() >= len(val) {
		return val, false
	}
	return b.Bytes(), true
}

// Unpack makes the value again that Pack compressed. Bytes that Pack did not
// write, and values of over 64 MiB, are refused.
func Unpack(packed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	val, err := io.ReadAll(io.LimitReader(r, inflatedMost+1))
	if err != nil {
		return nil, codes.New(codes.BadBody, "%v", err)
	}
	if len(val) > inflatedMost {
		return nil, codes.New(codes.BodyTooLarge, "a value of over %d bytes", inflatedMost)
	}
	return val, nil
}
