package feed

import (
	"bytes"
	"compress/flate"
	"io"

	"spoolswitch/internal/code"
)

const (
	// packFrom is the size from which on a whole value is compressed.
	packFrom = 1 << 10
	// unpackedMost bounds what a compressed value may become.
	unpackedMost = 64 << 20
)

// whole is a value as a new follower gets it, and whether it is compressed. That
// is done once for all followers.
func (v *kept) whole() ([]byte, bool) {
	if v.packed == nil && len(v.fed) >= packFrom {
		v.packed = pack(v.fed)
	}
	if v.packed == nil || len(v.packed) >= len(v.fed) {
		return v.fed, false
	}
	return v.packed, true
}

func pack(val []byte) []byte {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil
	}
	if _, err := w.Write(val); err != nil {
		return nil
	}
	if w.Close() != nil {
		return nil
	}
	return b.Bytes()
}

func unpack(packed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	val, err := io.ReadAll(io.LimitReader(r, unpackedMost+1))
	if err == nil && len(val) > unpackedMost {
		err = code.New(code.BodyTooLarge, "a value of over %d bytes", unpackedMost)
	}
	return val, err
}
