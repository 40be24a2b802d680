package deflate

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/codes"
)

func TestPack(t *testing.T) {
	is := is.New(t)
	for _, val := range [][]byte{nil, []byte("short"), bytes.Repeat([]byte("replica"), 5000)} {
		out, packed := Pack(val)
		is.Equal(packed, len(val) > worthFrom)
		if !packed {
			is.Equal(out, val)
			continue
		}
		is.True(len(out) < len(val)/10)
		got, err := Unpack(out)
		is.NoErr(err)
		is.Equal(got, val)
		_, err = Unpack(out[:len(out)/2])
		is.Equal(codes.Of(err), codes.BadBody)
	}
	noise := make([]byte, 4096)
	for i := range noise {
		noise[i] = byte(rand.Uint32())
	}
	out, packed := Pack(noise) // compressing makes it no smaller
	is.True(!packed)
	is.Equal(out, noise)
	_, err := Unpack([]byte("no deflate stream"))
	is.True(err != nil)
	huge, packed := Pack(make([]byte, inflatedMost+1))
	is.True(packed)
	_, err = Unpack(huge)
	is.Equal(codes.Of(err), codes.BodyTooLarge)
}
