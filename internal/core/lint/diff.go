package lint

import (
	"fmt"
	"slices"
	"strings"
)

// Def is a definition as it is written, such as a route.
type Def struct {
	// Key identifies the definition in all versions.
	Key    string
	Path   Path
	Fields []Field
}

// Field is a field of a definition. Values holds one value, or the items of a list in
// any order. Secrets must be replaced by their hashes.
type Field struct {
	Name   string
	Path   Path
	List   bool
	Values []string
}

// Against reports how next differs from old, the version in force. The findings are
// sorted by path.
func Against(old, next *View) []Finding {
	d := differ{}
	before := make(map[string]*Def, len(old.Defs))
	for i := range old.Defs {
		before[old.Defs[i].Key] = &old.Defs[i]
	}
	after := make(map[string]bool, len(next.Defs))
	for i := range next.Defs {
		def := &next.Defs[i]
		after[def.Key] = true
		if prev := before[def.Key]; prev != nil {
			d.fields(prev, def)
			continue
		}
		d.add(def.Path, "added: %s", def.text())
	}
	for i := range old.Defs {
		if def := &old.Defs[i]; !after[def.Key] {
			// The line is one of the version in force, not of the file that is checked.
			d.add(Path{File: next.At(AttrName, -1).File, Field: def.Path.Field}, "removed: %s", def.text())
		}
	}
	d.versions(old, next)
	Sort(d.found)
	return d.found
}

// differ collects the differences between two versions.
type differ struct{ found []Finding }

func (d *differ) add(p Path, format string, args ...any) {
	d.found = append(d.found, Finding{Change, p, fmt.Sprintf(format, args...)})
}

// versions reports changes of the configuration as a whole that hosts do not take as
// they may have been meant.
func (d *differ) versions(old, next *View) {
	if len(d.found) > 0 && next.Versioned && next.Version <= old.Version {
		d.found = append(d.found, Finding{Error, next.At(AttrVersion, -1), fmt.Sprintf("version %d does not follow version %d in force: after a restore of the store, hosts keep the latter", next.Version, old.Version)})
	}
	if old.KeyRequired && !next.KeyRequired {
		d.found = append(d.found, Finding{Warning, next.At(AttrOrgs, -1), "the list of organisations is left out: all routes become open without a key"})
	}
}

// fields reports the differences between two versions of a definition.
func (d *differ) fields(a, b *Def) {
	for _, f := range b.Fields {
		prev, ok := a.field(f.Name)
		switch {
		case !ok:
			d.add(f.Path, "set to %s", f.text())
		case f.List && prev.List:
			d.lists(f.Path, prev.Values, f.Values)
		case f.text() != prev.text():
			d.add(f.Path, "%s -> %s", prev.text(), f.text())
		}
	}
	for _, f := range a.Fields {
		if _, ok := b.field(f.Name); !ok {
			d.add(Path{File: b.Path.File, Line: b.Path.Line, Field: f.Path.Field}, "no longer set: %s", f.text())
		}
	}
}

// lists reports the items that are in only one of two lists.
func (d *differ) lists(p Path, a, b []string) {
	var parts []string
	if more := without(b, a); len(more) > 0 {
		parts = append(parts, "adds "+strings.Join(more, ", "))
	}
	if less := without(a, b); len(less) > 0 {
		parts = append(parts, "removes "+strings.Join(less, ", "))
	}
	if len(parts) > 0 {
		d.add(p, "%s", strings.Join(parts, "; "))
	}
}

// without returns the items of a that are not in b, each as often as a has more of it.
func without(a, b []string) []string {
	left := make(map[string]int, len(b))
	for _, s := range b {
		left[s]++
	}
	return slices.DeleteFunc(slices.Clone(a), func(s string) bool {
		left[s]--
		return left[s] >= 0
	})
}

// field returns the field with a name.
func (d *Def) field(name string) (Field, bool) {
	i := slices.IndexFunc(d.Fields, func(f Field) bool { return f.Name == name })
	if i < 0 {
		return Field{}, false
	}
	return d.Fields[i], true
}

// text returns the fields of a definition, except for its name.
func (d *Def) text() string {
	var parts []string
	for _, f := range d.Fields {
		if f.Name != string(AttrName) {
			parts = append(parts, f.Name+" "+f.text())
		}
	}
	if len(parts) == 0 {
		return "no fields"
	}
	return strings.Join(parts, ", ")
}

// text returns the value of a field.
func (f Field) text() string {
	if f.List {
		return "[" + strings.Join(f.Values, ", ") + "]"
	}
	return strings.Join(f.Values, "")
}
