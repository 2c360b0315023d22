package decide

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// Every exported name of the module has a comment that says what it is, or stands in a group that has one.
func TestExportedNamesAreDocumented(t *testing.T) {
	files := token.NewFileSet()
	seen := 0
	err := filepath.WalkDir("../..", func(path string, e fs.DirEntry, err error) error {
		if err != nil || e.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.HasSuffix(path, ".pb.go") {
			return err
		}
		f, err := parser.ParseFile(files, path, nil, parser.ParseComments)
		if err != nil {
			return err
		}
		seen++
		for _, d := range f.Decls {
			for _, name := range undocumented(d) {
				t.Errorf("%s: %s has no comment", files.Position(name.Pos()), name.Name)
			}
		}
		return nil
	})
	if err != nil || seen < 50 {
		t.Fatalf("%d files, %v", seen, err)
	}
}

// undocumented gives the exported names of a declaration that nothing is said of. Methods that carry out an interface of
// another package, which documents them, may go without.
func undocumented(d ast.Decl) (names []*ast.Ident) {
	switch d := d.(type) {
	case *ast.FuncDecl:
		if d.Name.IsExported() && d.Doc == nil && d.Recv == nil {
			names = append(names, d.Name)
		}
	case *ast.GenDecl:
		for _, s := range d.Specs {
			switch s := s.(type) {
			case *ast.TypeSpec:
				if s.Name.IsExported() && d.Doc == nil && s.Doc == nil && s.Comment == nil {
					names = append(names, s.Name)
				}
			case *ast.ValueSpec:
				for _, n := range s.Names {
					if n.IsExported() && d.Doc == nil && s.Doc == nil && s.Comment == nil && len(d.Specs) == 1 {
						names = append(names, n)
					}
				}
			}
		}
	}
	return names
}
