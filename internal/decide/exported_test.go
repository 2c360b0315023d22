package decide

import (
	"go/ast"
	"go/parser"
	"go/token"
	"strings"
	"testing"
)

// TestExportedNamesAreDocumented checks that every exported name of the repository has a comment, or is in a group that
// has one.
func TestExportedNamesAreDocumented(t *testing.T) {
	const minFiles = 50 // guards against a wrong path
	count := 0
	walkSources(t, "../..", parser.ParseComments, func(files *token.FileSet, path string, file *ast.File) {
		if strings.HasSuffix(path, ".pb.go") { // generated
			return
		}
		count++
		for _, declaration := range file.Decls {
			for _, name := range undocumented(declaration) {
				t.Errorf("%s: %s has no comment", files.Position(name.Pos()), name.Name)
			}
		}
	})
	if count < minFiles {
		t.Errorf("%d files checked, want at least %d", count, minFiles)
	}
}

// undocumented returns the exported names of a declaration that have no comment. Methods need none, as those that
// implement an interface are documented there.
func undocumented(declaration ast.Decl) []*ast.Ident {
	switch declaration := declaration.(type) {
	case *ast.FuncDecl:
		if declaration.Name.IsExported() && declaration.Doc == nil && declaration.Recv == nil {
			return []*ast.Ident{declaration.Name}
		}
	case *ast.GenDecl:
		var names []*ast.Ident
		for _, spec := range declaration.Specs {
			names = append(names, undocumentedInSpec(declaration, spec)...)
		}
		return names
	}
	return nil
}

// undocumentedInSpec returns the exported names of one specification in a declaration that have no comment. Constants
// and variables of a group need none.
func undocumentedInSpec(declaration *ast.GenDecl, spec ast.Spec) (names []*ast.Ident) {
	switch spec := spec.(type) {
	case *ast.TypeSpec:
		if spec.Name.IsExported() && declaration.Doc == nil && spec.Doc == nil && spec.Comment == nil {
			names = append(names, spec.Name)
		}
	case *ast.ValueSpec:
		if declaration.Doc != nil || spec.Doc != nil || spec.Comment != nil || len(declaration.Specs) > 1 {
			return nil
		}
		for _, name := range spec.Names {
			if name.IsExported() {
				names = append(names, name)
			}
		}
	}
	return names
}
