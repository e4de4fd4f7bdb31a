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

// Guards the page that operators read the log by: it documents each message of the code, with its level and its
// fields, and no message that the code does not log.
func TestLogReferenceMatchesCode(t *testing.T) {
	documented := parseLogReference(t, filepath.Join(repositoryRoot, logReferencePage))
	logged := map[string]bool{}
	for _, line := range findLogLines(t, repositoryRoot) {
		logged[line.message] = true
		row, ok := documented[line.message]
		if !ok {
			t.Errorf("%s: %s documents no message `%s`", line.position, logReferencePage, line.message)
			continue
		}
		if row.level != "" && row.level != line.level {
			t.Errorf("%s: `%s` is logged as %s, documented as %s", line.position, line.message, line.level, row.level)
		}
		for _, field := range line.fields {
			if !strings.Contains(row.text, "`"+field+"`") {
				t.Errorf("%s: %s lacks the field `%s` of `%s`", line.position, logReferencePage, field, line.message)
			}
		}
	}
	for message := range documented {
		if !logged[message] {
			t.Errorf("%s documents `%s`, which the code does not log", logReferencePage, message)
		}
	}
}

// referenceRow is what the page says of a message.
type referenceRow struct {
	level string // "" where the table has no such column
	text  string // of the whole row
}

// backquoted is a text in backquotes, as the page gives messages and fields.
var backquoted = regexp.MustCompile("`([^`]+)`")

// parseLogReference returns the messages that the page documents: the first backquoted text in the column "msg" of each
// row of its tables.
func parseLogReference(t *testing.T, path string) map[string]referenceRow {
	t.Helper()
	page, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	rows := map[string]referenceRow{}
	var header []string // of the present table
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
			t.Errorf("%s: no message in the row %s", path, line)
			continue
		}
		rows[found[1]] = newReferenceRow(line, header, cells)
	}
	return rows
}

// newReferenceRow returns what the line, a row with these cells, says below its table's header.
func newReferenceRow(line string, header, cells []string) referenceRow {
	row := referenceRow{text: line}
	if level := slices.Index(header, "level"); level >= 0 {
		row.level = cells[level]
	}
	return row
}

// tableCells returns the cells of a table's row, without the spaces around them.
func tableCells(line string) []string {
	cells := strings.Split(strings.Trim(line, "|"), "|")
	for i, cell := range cells {
		cells[i] = strings.TrimSpace(cell)
	}
	return cells
}
