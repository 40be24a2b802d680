package settings

import (
	"testing"

	"github.com/matryer/is"
)

const leastSettings = `
node-name = "n"
ip = "127.0.0.1"
zone = "z"
internal-ports = [7000, 7009]
seed-nodes = ["127.0.0.1:7010"]
[limits]
memory-mb = 64
file-descriptors = 1024
[platform-api]
address = "127.0.0.1:7011"
rate-per-s = 10
`

// Fields and tables that this release does not know change nothing.
func TestUnknownFieldsAreIgnored(t *testing.T) {
	is := is.New(t)
	known, errs := Parse([]byte(leastSettings))
	is.Equal(len(errs), 0)
	more, errs := Parse([]byte("later = []\n" + leastSettings + "duty-set = []\n[later-table]\na = {}\n"))
	is.Equal(len(errs), 0)
	is.Equal(more, known)
}
