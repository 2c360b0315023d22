// Package decide contains only tests. They check the imports of the packages below it, and that the exported names of
// the whole repository are documented.
package decide

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// forbiddenImports lists packages of the standard library that do I/O, read a clock, generate random numbers or
// synchronize goroutines.
var forbiddenImports = []string{
	"net", "os", "syscall", "io", "bufio", "log", "log/slog", "sync", "sync/atomic", "math/rand", "math/rand/v2",
	"crypto/rand", "time",
}

// TestImports checks that the packages below this one, package policy and package indexedheap, which they use, do not
// import packages that do I/O, read a clock or synchronize goroutines.
func TestImports(t *testing.T) {
	const minFiles = 30 // guards against a wrong path
	files := 0
	for _, root := range []string{".", "../../policy", "../indexedheap"} {
		walkSources(t, root, 0, func(_ *token.FileSet, path string, file *ast.File) {
			files++
			for _, spec := range file.Imports {
				name, err := strconv.Unquote(spec.Path.Value)
				if err != nil {
					t.Fatal(err)
				}
				if !mayImport(name) {
					t.Errorf("%s imports %s", path, name)
				}
			}
		})
	}
	if files < minFiles {
		t.Errorf("%d files checked, want at least %d", files, minFiles)
	}
}

// mayImport reports whether the checked packages may import the named package.
func mayImport(name string) bool {
	if !strings.HasPrefix(name, "docksail/") {
		return !slices.Contains(forbiddenImports, name)
	}
	return strings.HasPrefix(name, "docksail/policy") || name == "docksail/internal/indexedheap" ||
		strings.HasPrefix(name, "docksail/internal/decide/")
}

// walkSources parses the Go files below a directory, except tests, and calls visit with each.
func walkSources(
	t *testing.T, root string, mode parser.Mode, visit func(files *token.FileSet, path string, file *ast.File),
) {
	t.Helper()
	files := token.NewFileSet()
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(files, path, nil, mode)
		if err != nil {
			return err
		}
		visit(files, path, file)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
