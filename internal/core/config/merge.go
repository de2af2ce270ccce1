package config

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"

	"go.yaml.in/yaml/v3"

	"github.com/yuccalb/yuccalb/internal/core/model"
)

// entry is one definition and the positions of its fields. The fields are nil if the
// definition does not come from a file.
type entry[T any] struct {
	value    T
	position Position
	fields   *fieldInfo
}

// fieldPosition returns where a field was last set, or the position of the definition
// if it is not known.
func (e *entry[T]) fieldPosition(field string) Position {
	if e.fields != nil {
		if p, ok := e.fields.positions[field]; ok {
			return p
		}
	}
	return e.position
}

// table holds the definitions of one list, such as regions, by name.
type table[T any] struct {
	list    string // name of the list in files
	name    func(*T) string
	entries map[string]*entry[T]
}

func newTable[T any](list string, name func(*T) string) *table[T] {
	return &table[T]{list: list, name: name, entries: make(map[string]*entry[T])}
}

// sorted returns the definitions sorted by name.
func (t *table[T]) sorted() []*entry[T] {
	out := make([]*entry[T], 0, len(t.entries))
	for _, e := range t.entries {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b *entry[T]) int { return cmp.Compare(t.name(&a.value), t.name(&b.value)) })
	return out
}

// values returns the defined values sorted by name, or nil if there are none.
func (t *table[T]) values() []T {
	var out []T
	for _, e := range t.sorted() {
		out = append(out, e.value)
	}
	return out
}

// define adds the definitions in the list node n.
func (t *table[T]) define(d *decoder, n *yaml.Node) {
	d.list(n, t.list, func(item string, c *yaml.Node) {
		e := &entry[T]{position: Position{d.file, c.Line}, fields: newFieldInfo()}
		if !d.object(c, item, "", reflect.ValueOf(&e.value).Elem(), e.fields) {
			return
		}
		name := t.name(&e.value)
		if err := checkName(name); err != nil {
			d.fail(c, item+".name", "%v", err)
			return
		}
		if first, ok := t.entries[name]; ok {
			d.fail(c, item+".name", "%q is defined twice, first at %s", name, first.position)
			return
		}
		t.entries[name] = e
	})
}

// amend sets the fields given in the list node n on earlier definitions. Keys are added
// and not replaced: a key is revoked through remove, and two files that each add a key
// must not undo each other.
func (t *table[T]) amend(d *decoder, n *yaml.Node) {
	list := "amend." + t.list
	d.list(n, list, func(item string, c *yaml.Node) {
		e, ok := t.lookup(d, item, c)
		if !ok {
			return
		}
		org, isOrg := any(&e.value).(*model.Org)
		var keys []model.Key
		oldPositions := make(map[string]Position)
		if isOrg {
			keys = org.Keys
			for i := range keys {
				oldPositions[fmt.Sprintf("keys[%d].hash", i)] = e.fieldPosition(fmt.Sprintf("keys[%d].hash", i))
			}
			org.Keys = nil
		}
		d.object(c, item, "", reflect.ValueOf(&e.value).Elem(), e.fields)
		if !isOrg {
			return
		}
		added := org.Keys
		org.Keys = append(slices.Clip(keys), added...)
		for i := len(added) - 1; i >= 0; i-- {
			e.fields.positions[fmt.Sprintf("keys[%d].hash", len(keys)+i)] = e.fieldPosition(fmt.Sprintf("keys[%d].hash", i))
		}
		for field, position := range oldPositions {
			e.fields.positions[field] = position
		}
	})
}

// lookup returns the earlier definition whose name is given in the mapping node n.
func (t *table[T]) lookup(d *decoder, item string, n *yaml.Node) (*entry[T], bool) {
	var name string
	ok := d.mapping(n, item, func(key string, _, v *yaml.Node) {
		if key == "name" {
			name = v.Value
		}
	})
	if !ok {
		return nil, false
	}
	e, found := t.entries[name]
	if !found {
		d.fail(n, item+".name", "%q is not defined in this or an earlier file", name)
	}
	return e, found
}

// remove deletes the definitions named in the list node n.
func (t *table[T]) remove(d *decoder, n *yaml.Node) {
	d.list(n, "remove."+t.list, func(item string, c *yaml.Node) {
		if _, ok := t.entries[c.Value]; !ok || c.Kind != yaml.ScalarNode {
			d.fail(c, item, "%q is not defined in this or an earlier file", truncate(c.Value))
			return
		}
		delete(t.entries, c.Value)
	})
}

// merger collects the definitions and problems of all files.
type merger struct {
	regions  *table[model.Region]
	sites    *table[model.Site]
	services *table[model.Service]
	routes   *table[model.Route]
	orgs     *table[model.Org]
	errs     []error
}

func newMerger() *merger {
	return &merger{
		regions:  newTable("regions", func(r *model.Region) string { return r.Name }),
		sites:    newTable("sites", func(s *model.Site) string { return s.Name }),
		services: newTable("services", func(s *model.Service) string { return s.Name }),
		routes:   newTable("routes", func(r *model.Route) string { return r.Name }),
		orgs:     newTable("organisations", func(o *model.Org) string { return o.Name }),
	}
}

// mergeFile merges one file: definitions first, then amend, then remove.
func (m *merger) mergeFile(name string, root *yaml.Node) {
	if root == nil {
		return
	}
	d := &decoder{file: name, errs: &m.errs}
	var amend, remove *yaml.Node
	d.mapping(root, "", func(key string, k, v *yaml.Node) {
		switch key {
		case "regions":
			m.regions.define(d, v)
		case "sites":
			m.sites.define(d, v)
		case "services":
			m.services.define(d, v)
		case "routes":
			m.routes.define(d, v)
		case "organisations":
			m.orgs.define(d, v)
		case "amend":
			amend = v
		case "remove":
			remove = v
		default:
			d.fail(k, key, "unknown field")
		}
	})
	if amend != nil {
		m.amend(d, amend)
	}
	if remove != nil {
		m.remove(d, remove)
	}
}

// amend changes earlier definitions.
func (m *merger) amend(d *decoder, n *yaml.Node) {
	d.mapping(n, "amend", func(key string, k, v *yaml.Node) {
		switch key {
		case "services":
			m.services.amend(d, v)
		case "routes":
			m.routes.amend(d, v)
		case "organisations":
			m.orgs.amend(d, v)
		default:
			d.fail(k, "amend."+key, "unknown field")
		}
	})
}

// remove deletes earlier definitions. Keys are removed before organisations, whatever
// their order in the file, so that it is not an error to name both an organisation
// and one of its keys.
func (m *merger) remove(d *decoder, n *yaml.Node) {
	var orgs *yaml.Node
	d.mapping(n, "remove", func(key string, k, v *yaml.Node) {
		switch key {
		case "services":
			m.services.remove(d, v)
		case "routes":
			m.routes.remove(d, v)
		case "organisations":
			orgs = v
		case "keys":
			m.removeKeys(d, v)
		default:
			d.fail(k, "remove."+key, "unknown field")
		}
	})
	if orgs != nil {
		m.orgs.remove(d, orgs)
	}
}

// removeKeys revokes the keys whose hashes are in the list node n.
func (m *merger) removeKeys(d *decoder, n *yaml.Node) {
	owners := make(map[model.KeyHash]*entry[model.Org])
	for _, e := range m.orgs.entries {
		for _, k := range e.value.Keys {
			owners[k.Hash] = e
		}
	}
	removed := make(map[*entry[model.Org]]map[model.KeyHash]bool)
	d.list(n, "remove.keys", func(item string, c *yaml.Node) {
		var h model.KeyHash
		if err := h.UnmarshalText([]byte(c.Value)); err != nil {
			d.fail(c, item, "value %q: %v", truncate(c.Value), err)
			return
		}
		e, ok := owners[h]
		if !ok {
			d.fail(c, item, "no organisation has the key %s", h)
			return
		}
		delete(owners, h)
		if removed[e] == nil {
			removed[e] = make(map[model.KeyHash]bool)
		}
		removed[e][h] = true
	})
	for e, keys := range removed {
		e.removeKeys(keys)
	}
}

// removeKeys deletes keys of an organisation and renumbers the recorded positions of
// the keys that remain.
func (e *entry[T]) removeKeys(removed map[model.KeyHash]bool) {
	org := any(&e.value).(*model.Org)
	keep := make([]model.Key, 0, len(org.Keys))
	for i, k := range org.Keys {
		if removed[k.Hash] {
			continue
		}
		e.fields.positions[fmt.Sprintf("keys[%d].hash", len(keep))] = e.fieldPosition(fmt.Sprintf("keys[%d].hash", i))
		keep = append(keep, k)
	}
	if len(keep) == 0 {
		keep = nil
	}
	org.Keys = keep
}

// config returns the merged configuration.
func (m *merger) config() *model.Config {
	return &model.Config{
		Regions:  m.regions.values(),
		Sites:    m.sites.values(),
		Services: m.services.values(),
		Routes:   m.routes.values(),
		Orgs:     m.orgs.values(),
	}
}
