// Package dumptest shows values as text, so that tests can compare them before and after.
package dumptest

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Of returns all that can be reached from a value, as text. Pointers are shown once
// and by the order in which they are met, maps by sorted keys.
func Of(v any) string {
	d := dumper{seen: map[uintptr]int{}}
	d.dump(reflect.ValueOf(v))
	return d.text.String()
}

type dumper struct {
	text strings.Builder
	seen map[uintptr]int
}

func (d *dumper) dump(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			d.text.WriteString("nil ")
			return
		}
		if n, ok := d.seen[v.Pointer()]; ok {
			fmt.Fprintf(&d.text, "#%d ", n)
			return
		}
		d.seen[v.Pointer()] = len(d.seen)
		d.dump(v.Elem())
	case reflect.Interface:
		if !v.IsNil() {
			d.dump(v.Elem())
		}
	case reflect.Struct:
		for i := range v.NumField() {
			d.text.WriteString(v.Type().Field(i).Name + ":")
			d.dump(v.Field(i))
		}
	case reflect.Slice, reflect.Array:
		fmt.Fprintf(&d.text, "[%d ", v.Len())
		for i := range v.Len() {
			d.dump(v.Index(i))
		}
	case reflect.Map:
		d.dumpMap(v)
	case reflect.Func, reflect.Chan:
		fmt.Fprintf(&d.text, "%v ", v.IsNil())
	default:
		fmt.Fprintf(&d.text, "%v ", v)
	}
}

func (d *dumper) dumpMap(v reflect.Value) {
	keys := v.MapKeys()
	names := make(map[string]reflect.Value, len(keys))
	for _, key := range keys {
		name := fmt.Sprintf("%v", key)
		names[name] = key
	}
	sorted := make([]string, 0, len(names))
	for name := range names {
		sorted = append(sorted, name)
	}
	slices.Sort(sorted)
	fmt.Fprintf(&d.text, "{%d ", len(sorted))
	for _, name := range sorted {
		d.text.WriteString(name + "=")
		d.dump(v.MapIndex(names[name]))
	}
}
