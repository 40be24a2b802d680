// Command knownred reads KNOWN-RED.txt, the list of what fails for a real fault that is not
// fixed yet, and tells CI which tests may fail.
package main

import (
	"fmt"
	"regexp"
	"strings"
)

// Kind is what an entry names.
type Kind int

// The kinds of entries. CI runs tests apart, and only prints the others.
const (
	Test Kind = iota + 1
	Script
	Soak
	Day
	Bench
)

var forms = map[Kind]*regexp.Regexp{
	Test:   regexp.MustCompile(`^[a-z]\w*\.Test\w+$`),
	Script: regexp.MustCompile(`^review/\d+/run\.sh$`),
	Soak:   regexp.MustCompile(`^soak seed \d+$`),
	Day:    regexp.MustCompile(`^spoolsim point \d+ seed \d+$`),
	Bench:  regexp.MustCompile(`^bench [a-z-]+ [a-z0-9-]+ seed \d+$`),
}

const (
	separator = " | "
	form      = "NAME | COMMAND AND SEED | WHAT WAS SEEN | ISSUE, where NAME is package.TestName, review/N/run.sh, soak seed N, spoolsim point N seed N or bench SITE DAY seed N"
)

// Entry is one line of the list.
type Entry struct {
	Kind                       Kind
	Name, Command, Seen, Issue string
}

// Package is the folder below internal of the package of a test.
func (e Entry) Package() string {
	name, _, _ := strings.Cut(e.Name, ".")
	return name
}

// TestName is the name of a test in its package.
func (e Entry) TestName() string {
	_, name, _ := strings.Cut(e.Name, ".")
	return name
}

// String is the entry as it stands in the list.
func (e Entry) String() string {
	return strings.Join([]string{e.Name, e.Command, e.Seen, e.Issue}, separator)
}

// BadLine says which line of the list is no entry.
type BadLine struct {
	Line int
	Why  string
}

// Error names the line, what is wrong with it, and the form of an entry.
func (b *BadLine) Error() string {
	return fmt.Sprintf("line %d: %s; the form is: %s", b.Line, b.Why, form)
}

// Parse reads a list. Each entry stands on a line of its own, which ends.
func Parse(text string) ([]Entry, error) {
	var entries []Entry
	for number := 1; text != ""; number++ {
		line, rest, ended := strings.Cut(text, "\n")
		if !ended {
			return nil, &BadLine{number, "the line does not end"}
		}
		entry, why := parseLine(line)
		if why != "" {
			return nil, &BadLine{number, why}
		}
		entries = append(entries, entry)
		text = rest
	}
	return entries, nil
}

// parseLine reads one line, or tells why it is no entry.
func parseLine(line string) (entry Entry, why string) {
	fields := strings.Split(line, separator)
	if len(fields) != 4 {
		return entry, fmt.Sprintf("%d fields", len(fields))
	}
	for _, field := range fields {
		if strings.TrimSpace(field) == "" {
			return entry, "an empty field"
		}
	}
	entry = Entry{Name: fields[0], Command: fields[1], Seen: fields[2], Issue: fields[3]}
	for kind, pattern := range forms {
		if pattern.MatchString(entry.Name) {
			entry.Kind = kind
			return entry, ""
		}
	}
	return entry, fmt.Sprintf("%q names no test, script or seed", entry.Name)
}
