// Package docs_test checks that the pages are true to the repository.
package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"functionrouter/policy"
)

const repositoryRoot = ".."

// pages are the pages that follow the code. QUESTIONS.md and the incidents tell what was the case at their time.
var pages = []string{"README.md", "docs/ARCHITECTURE.md", "docs/GLOSSARY.md", "docs/LOG.md", "docs/ON-CALL.md", "docs/OPEN.md"}

var (
	// codeReference is `name`, `name` (`path/file.go`), where a line may end.
	codeReference = regexp.MustCompile("((?:`[A-Za-z]+`(?:,\\s+)?)+)\\s+\\(`([a-z/_]+\\.go)`\\)")
	backquoted    = regexp.MustCompile("`([^`]+)`")
	pathReference = regexp.MustCompile("`((?:cmd|deploy|docs|example|internal|journal|policy|tools)/[A-Za-z/_.-]*)`")
	link          = regexp.MustCompile(`\]\(([^)#]*)(#[^)]*)?\)`)
	heading       = regexp.MustCompile(`(?m)^#+ (.*)$`)
	notInAnchors  = regexp.MustCompile(`[^a-z0-9 _-]`)
)

// Guards the on-call engineer's way from a page to the code: each name that a page gives with its file is declared there.
func TestPagesNameDeclarationsOfTheirFiles(t *testing.T) {
	for _, page := range pages {
		for _, reference := range codeReference.FindAllStringSubmatch(readPage(t, page), -1) {
			file := reference[2]
			declared := declaredNames(t, file)
			for _, name := range backquoted.FindAllStringSubmatch(reference[1], -1) {
				if !declared[name[1]] {
					t.Errorf("%s: %s declares no %s", page, file, name[1])
				}
			}
		}
	}
}

// Guards the paths and links of the pages.
func TestPagesNameExistingPaths(t *testing.T) {
	for _, page := range pages {
		text := readPage(t, page)
		for _, path := range pathReference.FindAllStringSubmatch(text, -1) {
			if _, err := os.Stat(filepath.Join(repositoryRoot, path[1])); err != nil {
				t.Errorf("%s: %v", page, err)
			}
		}
		for _, target := range link.FindAllStringSubmatch(text, -1) {
			checkLink(t, page, target[1], strings.TrimPrefix(target[2], "#"))
		}
	}
}

// Guards the words that operators search for: each reason of a refusal, and each outcome of an attempt, that the counters
// name stands on the pages that explain the counters.
func TestPagesNameReasonsAndOutcomes(t *testing.T) {
	for reason := range policy.UnservedReason(policy.UnservedReasonCount) {
		requireNamed(t, reason.String(), "docs/LOG.md", "docs/ON-CALL.md")
	}
	// An outcome that was added after the last one has a name too; what is no outcome prints as "Outcome(9)".
	for outcome := policy.Outcome(0); !strings.HasPrefix(outcome.String(), "Outcome("); outcome++ {
		requireNamed(t, outcome.String(), "docs/LOG.md")
	}
}

// requireNamed requires that each page names name between backquotes.
func requireNamed(t *testing.T, name string, pages ...string) {
	t.Helper()
	for _, page := range pages {
		if !strings.Contains(readPage(t, page), "`"+name+"`") {
			t.Errorf("%s lacks `%s`", page, name)
		}
	}
}

// checkLink requires the target of a link, relative to its page, and the heading that the anchor names.
func checkLink(t *testing.T, page, target, anchor string) {
	t.Helper()
	path := page
	if target != "" {
		path = filepath.Join(filepath.Dir(page), target)
	}
	if _, err := os.Stat(filepath.Join(repositoryRoot, path)); err != nil {
		t.Errorf("%s: %v", page, err)
		return
	}
	if anchor == "" {
		return
	}
	for _, title := range heading.FindAllStringSubmatch(readPage(t, path), -1) {
		if anchorOf(title[1]) == anchor {
			return
		}
	}
	t.Errorf("%s: %s has no heading #%s", page, path, anchor)
}

// anchorOf returns the anchor that a heading has on a rendered page.
func anchorOf(title string) string {
	return strings.ReplaceAll(notInAnchors.ReplaceAllString(strings.ToLower(title), ""), " ", "-")
}

func readPage(t *testing.T, page string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(repositoryRoot, page))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// declaredNames returns the functions, methods, types, constants and variables that a file declares at its top level.
func declaredNames(t *testing.T, path string) map[string]bool {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), filepath.Join(repositoryRoot, path), nil, parser.SkipObjectResolution)
	if err != nil {
		t.Error(err)
		return nil
	}
	names := map[string]bool{}
	for _, declaration := range file.Decls {
		switch d := declaration.(type) {
		case *ast.FuncDecl:
			names[d.Name.Name] = true
		case *ast.GenDecl:
			for _, spec := range d.Specs {
				switch s := spec.(type) {
				case *ast.TypeSpec:
					names[s.Name.Name] = true
				case *ast.ValueSpec:
					for _, name := range s.Names {
						names[name.Name] = true
					}
				}
			}
		}
	}
	return names
}
