// Package manifest reads the manifests in which operators declare resources.
package manifest

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"

	"go.yaml.in/yaml/v3"

	"laburnumdock/internal/core/model"
)

// Read decodes the resources of a file of YAML documents, or of JSON, which is a
// subset of YAML. It rejects unknown fields, so that a mistake in a manifest is
// found before anything is sent. The name of the file is used in errors only.
func Read(name string, data []byte) ([]model.Object, error) {
	dec := yaml.NewDecoder(bytes.NewReader(data))
	var list []model.Object
	for n := 1; ; n++ {
		var doc any
		err := dec.Decode(&doc)
		if errors.Is(err, io.EOF) {
			return list, nil
		}
		if err != nil {
			return nil, fmt.Errorf("%s: document %d: %w", name, n, err)
		}
		if doc == nil {
			continue
		}
		obj, err := decodeDocument(doc)
		if err != nil {
			return nil, fmt.Errorf("%s: document %d: %w", name, n, err)
		}
		list = append(list, obj)
	}
}

func decodeDocument(doc any) (model.Object, error) {
	data, err := json.Marshal(doc)
	if err != nil {
		return nil, err
	}
	var head struct{ Metadata model.Meta }
	if err := json.Unmarshal(data, &head); err != nil {
		return nil, err
	}
	obj := model.New(head.Metadata.Kind)
	if obj == nil {
		return nil, fmt.Errorf("metadata.kind %q is not one of %v", head.Metadata.Kind, model.Kinds())
	}
	if err := model.ValidateName("metadata.name", head.Metadata.Name); err != nil {
		return nil, err
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(obj); err != nil {
		return nil, fmt.Errorf("%s %s: %w", head.Metadata.Kind, head.Metadata.Name, err)
	}
	return obj, nil
}

// Sort orders resources after those that they refer to. A pool that borrows
// hosts comes after the pool that it borrows from.
func Sort(list []model.Object) {
	kinds := model.Kinds()
	rank := func(obj model.Object) int {
		r := 2 * slices.Index(kinds, obj.Metadata().Kind)
		if pool, ok := obj.(*model.Pool); ok && pool.Spec.SpareFrom != "" {
			r++
		}
		return r
	}
	slices.SortStableFunc(list, func(a, b model.Object) int { return cmp.Compare(rank(a), rank(b)) })
}
