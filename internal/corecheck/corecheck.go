// Package corecheck checks what the linter cannot: that core packages start no
// goroutine and use no channel.
package corecheck

import (
	"go/ast"
	"go/parser"
	"go/token"
	"strings"
)

// Source returns one line for each forbidden construct in a Go source file.
func FindForbidden(name string, src any) ([]string, error) {
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, name, src, 0)
	if err != nil {
		return nil, err
	}
	var found []string
	ast.Inspect(file, func(n ast.Node) bool {
		if what := forbidden(n); what != "" {
			found = append(found, files.Position(n.Pos()).String()+": "+what)
		}
		return true
	})
	return found, nil
}

func forbidden(n ast.Node) string {
	switch v := n.(type) {
	case *ast.GoStmt:
		return "goroutine"
	case *ast.ChanType:
		return "channel"
	case *ast.SelectStmt:
		return "select"
	case *ast.SendStmt:
		return "send"
	case *ast.ImportSpec:
		if p := strings.Trim(v.Path.Value, `"`); p == "sync" || strings.HasPrefix(p, "sync/") {
			return "lock"
		}
	}
	return ""
}
