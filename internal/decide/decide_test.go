// Package decide holds no code: its tests say what the packages below it may import.
package decide

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// TestImports: what decides has no I/O, no clock and no goroutines, and neither has the decision module.
func TestImports(t *testing.T) {
	never := []string{"net", "os", "syscall", "io", "bufio", "log", "log/slog", "sync", "sync/atomic", "math/rand", "math/rand/v2", "crypto/rand", "time"}
	files := 0
	for _, root := range []string{".", "../../policy", "../indexedheap"} {
		err := filepath.WalkDir(root, func(path string, e fs.DirEntry, err error) error {
			if err != nil || e.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			files++
			f, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				return err
			}
			for _, imp := range f.Imports {
				name, err := strconv.Unquote(imp.Path.Value)
				if err != nil {
					return err
				}
				if slices.Contains(never, name) || strings.HasPrefix(name, "docksail/") && !strings.HasPrefix(name, "docksail/policy") && name != "docksail/internal/indexedheap" &&
					!strings.HasPrefix(name, "docksail/internal/decide/") {
					t.Errorf("%s imports %s", path, name)
				}
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if files < 8 {
		t.Errorf("%d files looked at, want those of the module and of each package here", files)
	}
}
