package config

import (
	"encoding"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// decoder sets structs from YAML nodes and records where each field was set. The
// decoder of the YAML library is not used because its errors give neither the field
// nor, for a duplicate definition, the position of the first one.
type decoder struct {
	file string
	errs *[]error
}

// fieldInfo records where the fields of one definition were set and which of them
// could not be decoded. The keys are paths relative to the definition.
type fieldInfo struct {
	positions map[string]Position
	invalid   map[string]bool
}

func newFieldInfo() *fieldInfo {
	return &fieldInfo{positions: make(map[string]Position), invalid: make(map[string]bool)}
}

// fail records a problem at node n.
func (d *decoder) fail(n *yaml.Node, field, format string, args ...any) {
	*d.errs = append(*d.errs, &Problem{Position: Position{d.file, n.Line}, Field: field, Message: fmt.Sprintf(format, args...)})
}

// resolve follows aliases.
func resolve(n *yaml.Node) *yaml.Node {
	for n.Alias != nil {
		n = n.Alias
	}
	return n
}

// mapping calls f for each key of a mapping node. It reports duplicate keys, and
// returns false if n is not a mapping.
func (d *decoder) mapping(n *yaml.Node, field string, f func(key string, k, v *yaml.Node)) bool {
	n = resolve(n)
	if n.Kind != yaml.MappingNode {
		d.fail(n, field, "want a mapping")
		return false
	}
	seen := make(map[string]int, len(n.Content)/2)
	for i := 0; i+1 < len(n.Content); i += 2 {
		k := resolve(n.Content[i])
		if k.Kind != yaml.ScalarNode {
			d.fail(k, field, "want a field name")
			continue
		}
		if line, ok := seen[k.Value]; ok {
			d.fail(k, join(field, k.Value), "set twice, first in line %d", line)
			continue
		}
		seen[k.Value] = k.Line
		f(k.Value, k, resolve(n.Content[i+1]))
	}
	return true
}

// list calls f for each item of a sequence node. It returns false if n is not a
// sequence.
func (d *decoder) list(n *yaml.Node, field string, f func(item string, v *yaml.Node)) bool {
	n = resolve(n)
	if n.Kind != yaml.SequenceNode {
		d.fail(n, field, "want a list")
		return false
	}
	for i, c := range n.Content {
		f(fmt.Sprintf("%s[%d]", field, i), resolve(c))
	}
	return true
}

// join appends a name to the path of a field.
func join(field, name string) string {
	if field == "" {
		return name
	}
	return field + "." + name
}

// object sets the fields of the struct v that are given in n and records their
// positions in m. The path field is used in messages, below is relative to the
// definition.
func (d *decoder) object(n *yaml.Node, field, below string, v reflect.Value, m *fieldInfo) bool {
	return d.mapping(n, field, func(key string, k, val *yaml.Node) {
		f, ok := fieldByTag(v, key)
		if !ok {
			d.fail(k, join(field, key), "unknown field")
			return
		}
		relative := join(below, key)
		m.positions[relative] = Position{d.file, k.Line}
		d.value(val, join(field, key), relative, f, m)
	})
}

// fieldByTag returns the field of the struct v with the given YAML name.
func fieldByTag(v reflect.Value, name string) (reflect.Value, bool) {
	for i := range v.NumField() {
		if yamlName(v.Type().Field(i)) == name {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

// yamlName returns the name of a field in configuration files.
func yamlName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name
}

// value sets v from n. The paths are those of object.
func (d *decoder) value(n *yaml.Node, field, below string, v reflect.Value, m *fieldInfo) {
	if v.Kind() == reflect.Slice {
		out := reflect.MakeSlice(v.Type(), 0, len(n.Content))
		ok := d.list(n, field, func(item string, c *yaml.Node) {
			e := reflect.New(v.Type().Elem()).Elem()
			relative := fmt.Sprintf("%s[%d]", below, out.Len())
			m.positions[relative] = Position{d.file, c.Line}
			d.value(c, item, relative, e, m)
			out = reflect.Append(out, e)
		})
		switch {
		case !ok:
			m.invalid[below] = true
		case out.Len() == 0:
			v.SetZero()
		default:
			v.Set(out)
		}
		return
	}
	if _, text := v.Addr().Interface().(encoding.TextUnmarshaler); v.Kind() == reflect.Struct && !text {
		d.object(n, field, below, v, m)
		return
	}
	if n.Kind != yaml.ScalarNode || n.ShortTag() == "!!null" {
		m.invalid[below] = true
		d.fail(n, field, "want a single value")
		return
	}
	if err := setScalar(v, n.Value); err != nil {
		m.invalid[below] = true
		d.fail(n, field, "%v", err)
	}
}

// setScalar sets v from the text of a scalar.
func setScalar(v reflect.Value, text string) error {
	switch p := v.Addr().Interface().(type) {
	case encoding.TextUnmarshaler:
		if err := p.UnmarshalText([]byte(text)); err != nil {
			return fmt.Errorf("value %q: %w", truncate(text), err)
		}
		return nil
	case *time.Duration:
		t, err := time.ParseDuration(text)
		if err != nil {
			return fmt.Errorf("value %q: want a duration such as 30s", truncate(text))
		}
		*p = t
		return nil
	}
	switch v.Kind() {
	case reflect.String:
		v.SetString(text)
	case reflect.Bool:
		if text != "true" && text != "false" {
			return fmt.Errorf("value %q: want true or false", truncate(text))
		}
		v.SetBool(text == "true")
	case reflect.Int, reflect.Int64:
		i, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return fmt.Errorf("value %q: want a whole number", truncate(text))
		}
		v.SetInt(i)
	default:
		return fmt.Errorf("value %q: type %s can't be set", truncate(text), v.Type())
	}
	return nil
}

// truncate shortens a value that is quoted in an error message.
func truncate(s string) string {
	const maxLen = 80 // bytes
	if len(s) > maxLen {
		return s[:maxLen] + "..."
	}
	return s
}
