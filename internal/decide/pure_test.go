package decide

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// The decision module and all packages below this folder do no I/O, read no clock and use no global source of
// randomness.
func TestPure(t *testing.T) {
	checked := 0
	check := func(path string) {
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		require.NoError(t, err)
		checked++
		for _, i := range file.Imports {
			name, err := strconv.Unquote(i.Path.Value)
			require.NoError(t, err)
			first, _, _ := strings.Cut(name, "/")
			system := first == "net" || first == "os" || first == "log" || first == "syscall"
			require.False(t, system && name != "net/netip" ||
				strings.HasPrefix(name, "topazfall/internal/") &&
					!strings.HasPrefix(name, "topazfall/internal/decide/") ||
				strings.Contains(first, "."), "%s imports %s", path, name)
		}
		ast.Inspect(file, func(n ast.Node) bool {
			s, ok := n.(*ast.SelectorExpr)
			if !ok {
				return true
			}
			switch p, _ := s.X.(*ast.Ident); {
			case p == nil:
			case p.Name == "time":
				require.NotContains(t,
					[]string{"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "Tick", "NewTimer", "NewTicker"},
					s.Sel.Name, path)
			case p.Name == "rand":
				require.Contains(t, []string{"Rand", "New", "NewPCG", "PCG", "Source", "Zipf", "NewZipf"}, s.Sel.Name,
					path)
			}
			return true
		})
	}
	root, err := filepath.Glob("../../*.go")
	require.NoError(t, err)
	for _, path := range root {
		if !strings.HasSuffix(path, "_test.go") {
			check(path)
		}
	}
	require.NoError(t, filepath.WalkDir(".", func(path string, _ fs.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
			check(path)
		}
		return err
	}))
	require.Greater(t, checked, 7)
}
