package configuration

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/codes"
	"spoolswitch/internal/ids"
)

const route = `{"name":"%s","authority":"%s","path-prefix":"%s","route-class":"safe","timeout-ms":%d,"service":"s"}`

func doc(version int, routes ...string) string {
	return fmt.Sprintf(`{"version":%d,"odd":"kept","route-table":[%s],"service-table":[{"name":"s","extra":1}],"limits":{}}`, version, strings.Join(routes, ","))
}

func r(name, host, prefix string) string { return fmt.Sprintf(route, name, host, prefix, 100) }

func TestFaults(t *testing.T) {
	good := doc(1, r("a", "h", "/a/"))
	if _, errs := Read([]byte(good)); len(errs) > 0 {
		t.Fatal(errs)
	}
	for name, c := range map[string]struct {
		doc  string
		want codes.Code
	}{
		"cut short":        {good[:len(good)-4], codes.Unreadable},
		"more behind":      {good + "{}", codes.Unreadable},
		"empty":            {"", codes.Unreadable},
		"no object":        {"[]", codes.Unreadable},
		"field twice":      {strings.Replace(good, `"odd":"kept"`, `"version":2`, 1), codes.Unreadable},
		"wrong type":       {strings.Replace(good, `"timeout-ms":100`, `"timeout-ms":"x"`, 1), codes.Unreadable},
		"no service":       {strings.Replace(good, `"service":"s"`, `"service":"t"`, 1), codes.NoService},
		"none named":       {strings.Replace(good, `,"service":"s"`, ``, 1), codes.NoService},
		"same place":       {doc(1, r("a", "h", "/a/"), r("b", "H", "/a/")), codes.SamePlace},
		"same name":        {doc(1, r("a", "h", "/a/"), r("a", "h", "/b/")), codes.SamePlace},
		"no weight":        {strings.Replace(good, `"service":"s"`, `"distribution":[{"service":"s","weight":0}]`, 1), codes.NoWeight},
		"empty weights":    {strings.Replace(good, `"service":"s"`, `"service":"s","distribution":[]`, 1), codes.NoWeight},
		"minus weight":     {strings.Replace(good, `"service":"s"`, `"distribution":[{"service":"s","weight":-1},{"service":"s","weight":2}]`, 1), codes.BadItem},
		"split unknown":    {strings.Replace(good, `"service":"s"`, `"distribution":[{"service":"t","weight":1}]`, 1), codes.NoService},
		"no timeout":       {strings.Replace(good, `"timeout-ms":100`, `"timeout-ms":0`, 1), codes.NoTimeout},
		"absent timeout":   {strings.Replace(good, `"timeout-ms":100,`, ``, 1), codes.NoTimeout},
		"odd class":        {strings.Replace(good, `"safe"`, `"odd"`, 1), codes.BadItem},
		"prefix unslashed": {strings.Replace(good, `"/a/"`, `"/a"`, 1), codes.BadItem},
		"no version":       {strings.Replace(good, `"version":1,`, ``, 1), codes.OldVersion},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, errs := Read([]byte(c.doc))
			is.True(len(errs) > 0)
			found := false
			for _, err := range errs {
				found = found || codes.Of(err) == c.want
			}
			is.True(found)
		})
	}
}

func TestEveryFaultIsSaid(t *testing.T) {
	is := is.New(t)
	d := doc(0, fmt.Sprintf(route, "a", "h", "/a/", 0), fmt.Sprintf(route, "b", "h", "/a/", 5))
	_, errs := Read([]byte(d))
	is.Equal(len(errs), 3)
}

func TestModify(t *testing.T) {
	is := is.New(t)
	d, errs := Read([]byte(doc(1, r("a", "h", "/a/"), r("b", "h", "/b/"))))
	is.Equal(len(errs), 0)
	n, errs := d.Modify([]byte(`{"version":3,"upsert":{"route-table":[` + r("b", "h", "/bb/") + `,` + r("c", "h", "/c/") + `]},"remove":{"route-table":["a","none"]}}`))
	is.Equal(len(errs), 0)
	is.Equal(n.Version, ids.Version(3))
	is.Equal(len(n.Routes), 2)
	is.Equal(n.Routes[0].Prefix, "/bb/")
	is.Equal(n.Routes[1].Name, "c")
	again, errs := Read(n.JSON())
	is.Equal(len(errs), 0)
	is.True(strings.Contains(string(again.JSON()), `"odd":"kept"`))
	is.True(strings.Contains(string(again.JSON()), `"extra":1`))
	is.Equal(len(d.Routes), 2) // the old one is as it was
	_, errs = d.Modify([]byte(`{"version":3,"remove":{"service-table":["s"]}}`))
	is.True(len(errs) > 0)
	_, errs = d.Modify([]byte(`{"upsert":{}}`))
	is.True(len(errs) > 0)
}

func TestDiff(t *testing.T) {
	is := is.New(t)
	a, _ := Read([]byte(doc(1, r("a", "h", "/a/"), r("b", "h", "/b/"))))
	b, _ := Read([]byte(doc(2, r("b", "h", "/bb/"), r("c", "h", "/c/"))))
	d := a.Diff(b)
	is.Equal(len(d), 3)
	is.True(strings.HasPrefix(d[0], "+ route-table c"))
	is.True(strings.HasPrefix(d[1], "- route-table a"))
	is.True(strings.HasPrefix(d[2], "~ route-table b"))
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(doc(1, r("a", "h", "/a/"))))
	f.Add([]byte(`{"version":1,"route-table":[null],"service-table":[null]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		d, errs := Read(b)
		if len(errs) > 0 {
			return
		}
		if again, errs := Read(d.JSON()); len(errs) > 0 || again.Version != d.Version {
			t.Fatalf("%q reads back otherwise: %v", b, errs)
		}
		NewTable(d).Match("h", "/a/b")
	})
}
