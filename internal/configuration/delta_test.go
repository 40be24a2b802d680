package configuration

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/ids"
)

func routeText(name string, timeout int) string {
	return fmt.Sprintf(`{"name":%q,"authority":"h.example","path-prefix":"/%s/","route-class":"safe","timeout-ms":%d,"service":"s"}`, name, name, timeout)
}

func stateOf(version int, limits string, routes ...string) []byte {
	text := fmt.Sprintf(`{"version":%d,"route-table":[%s],"service-table":[{"name":"s"}],"limits":{%s}}`, version, strings.Join(routes, ","), limits)
	return (&State{Version: ids.Version(version), JSON: []byte(text)}).Encode()
}

// However routes are added, changed, removed and put into another order, the
// change leads to the very document, or there is none and it is fed whole.
func TestDeltaLeadsToTheNext(t *testing.T) {
	is := is.New(t)
	dice := rand.New(rand.NewPCG(1, 2))
	var have []string
	names := 0
	add := func() {
		names++
		have = append(have, routeText(fmt.Sprint("r", names), 1000))
	}
	for range 60 {
		add()
	}
	old := stateOf(1, "", have...)
	small := 0
	for version := 2; version < 200; version++ {
		for range 1 + dice.IntN(3) {
			switch i := dice.IntN(len(have)); dice.IntN(4) {
			case 0:
				add()
			case 1:
				have = append(have[:i:i], have[i+1:]...)
			case 2:
				have[i] = strings.Replace(have[i], "1000", fmt.Sprint(1000+version), 1)
			case 3:
				have[0], have[i] = have[i], have[0]
			}
		}
		fresh := stateOf(version, fmt.Sprintf(`"idle-timeout-ms":%d`, 1000+version/7), have...)
		change := Delta(old, fresh)
		is.True(change != nil)
		if len(change) < len(fresh)/4 {
			small++
		}
		got, ok := DocOf(old).ApplyDelta(change)
		is.True(ok)
		is.Equal(got.Sum(), DocOf(fresh).Sum())
		is.Equal(got.Version, ids.Version(version))
		_, ok = DocOf(stateOf(version-1, "", have[1:]...)).ApplyDelta(change)
		is.True(!ok) // from another document it leads elsewhere
		old = fresh
	}
	is.True(small > 190)
}

func TestNoDelta(t *testing.T) {
	is := is.New(t)
	a, b := stateOf(1, "", routeText("a", 1)), stateOf(2, "", routeText("b", 1))
	is.True(Delta(nil, b) == nil)
	is.True(Delta(a, []byte("x")) == nil)
	less := (&State{Version: 2, JSON: []byte(`{"version":2,"route-table":[],"service-table":[]}`)}).Encode()
	is.True(Delta(a, less) == nil) // a field that went cannot be told
	_, ok := DocOf(a).ApplyDelta([]byte("x"))
	is.True(!ok)
	is.True(DocOf(nil) == nil)
}
