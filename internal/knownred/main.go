package main

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
)

const usage = "usage: knownred tests|others FILE"

func main() {
	if err := run(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run prints the tests of a list, a package, a name and the entry each, separated by tabs, or the
// entries that CI does not run. A file that is not there is an empty list.
func run(args []string, out io.Writer) error {
	if len(args) != 2 || args[0] != "tests" && args[0] != "others" {
		return errors.New(usage)
	}
	text, err := os.ReadFile(args[1])
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	entries, err := Parse(string(text))
	if err != nil {
		return fmt.Errorf("%s: %w", args[1], err)
	}
	for _, entry := range entries {
		switch {
		case args[0] == "others" && entry.Kind != Test:
			_, err = fmt.Fprintln(out, entry)
		case args[0] == "tests" && entry.Kind == Test:
			_, err = fmt.Fprintf(out, "%s\t%s\t%s\n", entry.Package(), entry.TestName(), entry)
		}
		if err != nil {
			return err
		}
	}
	return nil
}
