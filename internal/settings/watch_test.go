package settings

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func settings(node string) string {
	return fmt.Sprintf(`
node-name = %q
ip = "10.0.0.1"
zone = "z"
internal-ports = [7000, 7010]
seed-nodes = ["10.0.0.1:80"]
later = "ignored"
[limits]
memory-mb = 64
file-descriptors = 100
[platform-api]
address = "10.0.0.2:80"
rate-per-s = 1.5
`, node)
}

func TestParse(t *testing.T) {
	is := is.New(t)
	s, errs := Parse([]byte(settings("a")))
	is.Equal(len(errs), 0)
	is.Equal(s.Session.IdleS, 300.0)
	is.Equal(string(s.Keeper("10.0.0.9:80")), "10.0.0.9:7000")
	_, errs = Parse([]byte("node-name = \"a\"\nip = \"x\"\ninternal-ports = [1]\n"))
	is.True(len(errs) >= 5) // every fault, by the names of the file
	is.True(strings.Contains(fmt.Sprint(errs), "internal-ports"))
	is.Equal((&Index{PerS: 800, OutageS: 12, CatchUpS: 3, Safety: 1}).Steps(), 12000) // the source's figures
	is.Equal((&Index{PerS: 800, OutageS: 12, CatchUpS: 3, Safety: 2}).Steps(), 24000)
	for _, x := range []string{"batches-per-s = 800", "safety-factor = 0.5", "proofs = 0", "speculative-ms = 0", "outage-s = -1"} {
		_, errs = Parse([]byte(settings("a") + "[kv-index]\n" + x + "\n")) // 24,000 batches do not fit in 64 MB / 64
		is.Equal(len(errs), 1)
	}
	for _, x := range []string{"window-s = 0", "hysteresis = 0", "floor = 0.6", "moves = 2", "least-requests = 0"} {
		_, errs = Parse([]byte(settings("a") + "[pool]\n" + x + "\n"))
		is.Equal(len(errs), 1)
	}
	s, errs = Parse([]byte(settings("a") + "[pool]\nenabled = true\n"))
	is.True(len(errs) == 0 && s.Pool.Enabled && s.Pool.WindowS == 30)
	_, errs = Parse([]byte(settings("a") + "[calendar]\nrewrite = \"often\"\n"))
	is.Equal(len(errs), 1)
	_, errs = Parse([]byte(settings("a") + "[calendar]\nrewrite = \"0 3 * * *\"\n"))
	is.Equal(len(errs), 0)
	_, errs = Parse([]byte("= no toml"))
	is.Equal(len(errs), 1)
}

func TestWatch(t *testing.T) {
	is := is.New(t)
	p := t.TempDir() + "/boot.toml"
	var got []string
	w := &Watch{Path: p, Take: func(s *Settings) { got = append(got, string(s.Node)) }}
	put := func(s string) {
		is.NoErr(os.WriteFile(p, []byte(s), 0o600))
		w.Look()
	}
	put(settings("a"))
	put(settings("a"))
	put("broken")
	put(settings("b"))
	is.Equal(got, []string{"a", "b"})
}
