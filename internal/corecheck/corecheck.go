// Package corecheck checks what the linter cannot: that core packages start no
// goroutine and use no channel or lock.
package corecheck

import (
	"go/ast"
	"go/parser"
	"go/token"
	"strings"
)

// FindForbidden returns one line, with its position, for each forbidden construct
// in a Go source file. src is as for parser.ParseFile.
func FindForbidden(name string, src any) ([]string, error) {
	fset := token.NewFileSet()
	file, err := parser.ParseFile(fset, name, src, 0)
	if err != nil {
		return nil, err
	}
	var found []string
	ast.Inspect(file, func(n ast.Node) bool {
		if construct := forbiddenConstruct(n); construct != "" {
			found = append(found, fset.Position(n.Pos()).String()+": "+construct)
		}
		return true
	})
	return found, nil
}

// forbiddenConstruct returns the name of the construct if the node is a forbidden
// one, or "".
func forbiddenConstruct(n ast.Node) string {
	switch node := n.(type) {
	case *ast.GoStmt:
		return "goroutine"
	case *ast.ChanType:
		return "channel"
	case *ast.SelectStmt:
		return "select"
	case *ast.SendStmt:
		return "send"
	case *ast.ImportSpec:
		if path := strings.Trim(node.Path.Value, `"`); path == "sync" || strings.HasPrefix(path, "sync/") {
			return "lock"
		}
	}
	return ""
}
