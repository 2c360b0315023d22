// Package decide holds no code. Its tests check what the packages below it may import, and that exported names are
// documented everywhere.
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

// forbiddenImports are packages of the standard library that do I/O, read a clock, draw random numbers by themselves or
// synchronize goroutines.
var forbiddenImports = []string{
	"net", "os", "syscall", "io", "bufio", "log", "log/slog", "sync", "sync/atomic", "math/rand", "math/rand/v2",
	"crypto/rand", "time",
}

// TestImports: packages that decide, package policy and the heap that they use do no I/O, read no clock and have no
// goroutines.
func TestImports(t *testing.T) {
	const minFiles = 30 // a lower number would mean that packages are not found
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

// mayImport reports whether a package that decides may import another one.
func mayImport(name string) bool {
	if !strings.HasPrefix(name, "docksail/") {
		return !slices.Contains(forbiddenImports, name)
	}
	return strings.HasPrefix(name, "docksail/policy") || name == "docksail/internal/indexedheap" ||
		strings.HasPrefix(name, "docksail/internal/decide/")
}

// walkSources parses the Go files below a directory, other than tests, and calls visit with each.
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
