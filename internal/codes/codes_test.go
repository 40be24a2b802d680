package codes

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Every code stands in the table of the docs, with its words.
func TestTabled(t *testing.T) {
	b, err := os.ReadFile("../../docs/codes.md")
	if err != nil {
		t.Fatal(err)
	}
	for c, name := range All() {
		if !strings.Contains(string(b), fmt.Sprintf("| %d | %s |", int(c), name)) {
			t.Errorf("docs/codes.md lacks | %d | %s |", int(c), name)
		}
	}
}

func TestOf(t *testing.T) {
	is := is.New(t)
	err := New(NoRoute, "for %s", "h")
	is.Equal(Of(err), NoRoute)
	is.Equal(Of(fmt.Errorf("more: %w", err)), NoRoute)
	is.Equal(Of(nil), OK)
	is.Equal(Of(errors.New("other")), Unreadable)
	is.Equal(err.Error(), "206 no route: for h")
}
