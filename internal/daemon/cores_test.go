package daemon

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/settings"
)

const settingsText = `
node-name = "a"
ip = "10.0.0.1"
zone = "z"
internal-ports = [7000, 7010]
seed-nodes = ["10.0.0.1:80"]
[limits]
memory-mb = 64
file-descriptors = 100
%s
[platform-api]
address = "10.0.0.2:80"
rate-per-s = 1.5
`

// The processors that a daemon uses are those of its settings, at the start and
// when they change.
func TestCores(t *testing.T) {
	is := is.New(t)
	was := runtime.GOMAXPROCS(0)
	defer runtime.GOMAXPROCS(was)
	file := func(line string) *settings.Settings {
		s, errs := settings.Parse(fmt.Appendf(nil, settingsText, line))
		is.Equal(len(errs), 0)
		return s
	}
	for _, x := range []struct {
		line string
		want int
	}{{"cores = 3", 3}, {"cores = 1", 1}, {"cores = 2", 2}, {"", 2}} {
		s := file(x.line)
		is.Equal(Cores(s.Limits), x.want)
		is.Equal(runtime.GOMAXPROCS(0), x.want)
	}
	d := &taker{}
	take(d)(file("cores = 1"))
	is.Equal(runtime.GOMAXPROCS(0), 1)
	is.Equal(d.n, 1)
}

type taker struct{ n int }

func (d *taker) Take(*settings.Settings) { d.n++ }
func (d *taker) Stop()                   {}
