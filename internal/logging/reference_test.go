package logging

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

const (
	repositoryRoot   = "../.."
	logReferencePage = "docs/LOG.md"
)

// The operators' reference of the log documents each message in the code, with its level and its fields, and no message
// that the code does not log.
func TestLogReferenceMatchesCode(t *testing.T) {
	documented := parseLogReference(t, filepath.Join(repositoryRoot, logReferencePage))
	logged := map[string]bool{}
	for _, line := range findLogLines(t, repositoryRoot) {
		logged[line.message] = true
		row, ok := documented[line.message]
		if !ok {
			t.Errorf("%s: %s does not document the message `%s`", line.position, logReferencePage, line.message)
			continue
		}
		if row.level != "" && row.level != line.level {
			t.Errorf("%s: `%s` is logged as %s, documented as %s", line.position, line.message, line.level, row.level)
		}
		for _, field := range line.fields {
			if !strings.Contains(row.text, "`"+field+"`") {
				t.Errorf("%s: %s does not document the field `%s` of `%s`",
					line.position, logReferencePage, field, line.message)
			}
		}
	}
	for message := range documented {
		if !logged[message] {
			t.Errorf("%s documents `%s`, which the code does not log", logReferencePage, message)
		}
	}
}

// referenceRow is the entry of a message in the log reference.
type referenceRow struct {
	level string // empty if the table has no column "level"
	text  string // text of the whole row
}

// backquoted matches a text in backquotes. The log reference writes messages and fields in backquotes.
var backquoted = regexp.MustCompile("`([^`]+)`")

// parseLogReference returns the entries of the log reference by their message. The message is the first backquoted text
// in the column "msg" of a table row.
func parseLogReference(t *testing.T, path string) map[string]referenceRow {
	t.Helper()
	page, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	rows := map[string]referenceRow{}
	var header []string // cells of the current table's header row
	for line := range strings.Lines(string(page)) {
		line = strings.TrimSpace(line)
		if !strings.HasPrefix(line, "|") {
			header = nil
			continue
		}
		cells := tableCells(line)
		if header == nil {
			header = cells
			continue
		}
		column := slices.Index(header, "msg")
		if column < 0 || column >= len(cells) || strings.HasPrefix(cells[0], "---") {
			continue
		}
		found := backquoted.FindStringSubmatch(cells[column])
		if found == nil {
			t.Errorf("%s: the column \"msg\" has no message in backquotes in the row %s", path, line)
			continue
		}
		rows[found[1]] = newReferenceRow(line, header, cells)
	}
	return rows
}

// newReferenceRow returns the entry of a table row, given as its line and its cells, in a table with this header.
func newReferenceRow(line string, header, cells []string) referenceRow {
	row := referenceRow{text: line}
	if level := slices.Index(header, "level"); level >= 0 {
		row.level = cells[level]
	}
	return row
}

// tableCells returns the cells of a table row without surrounding spaces.
func tableCells(line string) []string {
	cells := strings.Split(strings.Trim(line, "|"), "|")
	for i, cell := range cells {
		cells[i] = strings.TrimSpace(cell)
	}
	return cells
}
