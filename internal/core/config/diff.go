package config

import (
	"encoding"
	"fmt"
	"reflect"
	"strings"

	"github.com/yuccalb/yuccalb/internal/core/model"
)

// Diff describes how b differs from a, one definition after the other: "+" marks a new
// one, "-" a removed one, "~" a changed one. The result is empty if they are equal.
// Both must be sorted by name, as Read and Join return them; nil stands for an empty
// configuration.
func Diff(a, b *model.Config) string {
	if a == nil {
		a = &model.Config{}
	}
	if b == nil {
		b = &model.Config{}
	}
	var w strings.Builder
	diffList(&w, "region", a.Regions, b.Regions, func(r *model.Region) string { return r.Name })
	diffList(&w, "data centre", a.Sites, b.Sites, func(s *model.Site) string { return s.Name })
	diffList(&w, "service", a.Services, b.Services, func(s *model.Service) string { return s.Name })
	diffList(&w, "route", a.Routes, b.Routes, func(r *model.Route) string { return r.Name })
	diffList(&w, "organisation", a.Orgs, b.Orgs, func(o *model.Org) string { return o.Name })
	return w.String()
}

// diffList writes the differences between two lists that are sorted by name.
func diffList[T any](w *strings.Builder, kind string, a, b []T, name func(*T) string) {
	for len(a) > 0 || len(b) > 0 {
		switch {
		case len(a) == 0 || (len(b) > 0 && name(&b[0]) < name(&a[0])):
			fmt.Fprintf(w, "+ %s %s\n", kind, name(&b[0]))
			diffFields(w, reflect.Zero(reflect.TypeFor[T]()), reflect.ValueOf(b[0]))
			b = b[1:]
		case len(b) == 0 || name(&a[0]) < name(&b[0]):
			fmt.Fprintf(w, "- %s %s\n", kind, name(&a[0]))
			a = a[1:]
		default:
			if !reflect.DeepEqual(a[0], b[0]) {
				fmt.Fprintf(w, "~ %s %s\n", kind, name(&a[0]))
				diffFields(w, reflect.ValueOf(a[0]), reflect.ValueOf(b[0]))
			}
			a, b = a[1:], b[1:]
		}
	}
}

// diffFields writes the fields that differ, except for the name.
func diffFields(w *strings.Builder, a, b reflect.Value) {
	for i := range a.NumField() {
		field := yamlName(a.Type().Field(i))
		x, y := a.Field(i), b.Field(i)
		if field == "name" || reflect.DeepEqual(x.Interface(), y.Interface()) {
			continue
		}
		if x.Kind() == reflect.Slice && x.Type().Elem().Kind() == reflect.Struct {
			diffItems(w, field, x, y)
			continue
		}
		if x.IsZero() {
			fmt.Fprintf(w, "    %s: %s\n", field, formatValue(y))
			continue
		}
		fmt.Fprintf(w, "    %s: %s -> %s\n", field, formatValue(x), formatValue(y))
	}
}

// diffItems writes the items that are in only one of two lists.
func diffItems(w *strings.Builder, field string, a, b reflect.Value) {
	in := func(list reflect.Value, item any) bool {
		for i := range list.Len() {
			if reflect.DeepEqual(list.Index(i).Interface(), item) {
				return true
			}
		}
		return false
	}
	for i := range a.Len() {
		if !in(b, a.Index(i).Interface()) {
			fmt.Fprintf(w, "    - %s: %s\n", field, formatValue(a.Index(i)))
		}
	}
	for i := range b.Len() {
		if !in(a, b.Index(i).Interface()) {
			fmt.Fprintf(w, "    + %s: %s\n", field, formatValue(b.Index(i)))
		}
	}
}

// formatValue formats a value as in a configuration file.
func formatValue(v reflect.Value) string {
	if t, ok := v.Interface().(encoding.TextMarshaler); ok {
		text, err := t.MarshalText()
		if err != nil {
			return err.Error()
		}
		return string(text)
	}
	switch v.Kind() {
	case reflect.Slice:
		items := make([]string, v.Len())
		for i := range items {
			items[i] = formatValue(v.Index(i))
		}
		return "[" + strings.Join(items, ", ") + "]"
	case reflect.Struct:
		var parts []string
		for i := range v.NumField() {
			if f := v.Field(i); !f.IsZero() {
				parts = append(parts, yamlName(v.Type().Field(i))+": "+formatValue(f))
			}
		}
		return "{" + strings.Join(parts, ", ") + "}"
	case reflect.String:
		if s := v.String(); s == "" || strings.ContainsAny(s, " ,:{}[]\"\n") {
			return fmt.Sprintf("%q", s)
		}
	}
	return fmt.Sprint(v.Interface())
}
