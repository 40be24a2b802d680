package match

import (
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/codes"
)

func TestTree(t *testing.T) {
	is := is.New(t)
	tr := new(Tree[int]).Add("POST", "/-/evacuation/*/initiate", 1).Add("GET", "/-/ready", 2)
	e, p, err := tr.Find("POST", "/-/evacuation/z1/initiate")
	is.NoErr(err)
	is.Equal(e, 1)
	is.Equal(p, []string{"z1"})
	_, _, err = tr.Find("GET", "/-/evacuation/z1/initiate")
	is.Equal(codes.Of(err), codes.BadMethod)
	for _, path := range []string{"/", "/-/", "/-/evacuation/z1", "/-/evacuation//initiate", "/-/readyx", "/-/ready/x"} {
		_, _, err = tr.Find("GET", path)
		is.Equal(codes.Of(err), codes.NoCall)
	}
}
