package config

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/yuccalb/yuccalb/internal/core/lint"
	"github.com/yuccalb/yuccalb/internal/core/model"
)

// Names of the attributes in configuration files. The items of a list are marked by [].
var (
	serviceNames = map[lint.Attr]string{lint.AttrName: "name", lint.AttrServers: "servers"}
	routeNames   = map[lint.Attr]string{
		lint.AttrName: "name", lint.AttrTarget: "service", lint.AttrTimeout: "deadline", lint.AttrRegions: "regions[]",
	}
	orgNames = map[lint.Attr]string{
		lint.AttrName: "name", lint.AttrKeys: "keys[].hash", lint.AttrRate: "rate", lint.AttrBurst: "burst",
		lint.AttrRegions: "regions[]", lint.AttrRoutes: "routes[]",
	}
)

// View returns what the rules of package lint need of a valid configuration. The source
// is nil if it was not read from files: its paths then have the given name as the file.
func View(name string, cfg *model.Config, src *Source) *lint.View {
	if src == nil {
		src = &Source{m: newMerger()}
	}
	v := &lint.View{
		KeyRequired: true, BurstRefuses: true,
		At: func(a lint.Attr, _ int) lint.Path { return lint.Path{File: name, Field: string(a)} },
	}
	regionOf := make(map[string]string, len(cfg.Sites))
	for _, r := range cfg.Regions {
		v.Regions = append(v.Regions, r.Name)
	}
	for _, s := range cfg.Sites {
		regionOf[s.Name] = s.Region
	}
	for i := range cfg.Services {
		s := &cfg.Services[i]
		out := lint.Service{Name: s.Name, Located: true, At: locator(name, src.m.services, s.Name, serviceNames)}
		for _, srv := range s.Servers {
			if !srv.Leaving {
				out.Regions = append(out.Regions, regionOf[srv.Site])
			}
		}
		v.Services = append(v.Services, out)
	}
	for i := range cfg.Routes {
		v.Routes = append(v.Routes, viewRoute(&cfg.Routes[i], locator(name, src.m.routes, cfg.Routes[i].Name, routeNames)))
	}
	for i := range cfg.Orgs {
		v.Orgs = append(v.Orgs, viewOrg(&cfg.Orgs[i], locator(name, src.m.orgs, cfg.Orgs[i].Name, orgNames)))
	}
	v.Defs = append(v.Defs, defs(name, src.m.regions, cfg.Regions)...)
	v.Defs = append(v.Defs, defs(name, src.m.sites, cfg.Sites)...)
	v.Defs = append(v.Defs, defs(name, src.m.services, cfg.Services)...)
	v.Defs = append(v.Defs, defs(name, src.m.routes, cfg.Routes)...)
	v.Defs = append(v.Defs, defs(name, src.m.orgs, cfg.Orgs)...)
	return v
}

func viewRoute(r *model.Route, at lint.Locator) lint.Route {
	response := r.ReservedTokens
	if response == 0 && r.Kind == model.KindChat {
		response = model.DefaultReservedTokens
	}
	return lint.Route{
		Name: r.Name, Targets: []lint.Target{{Service: r.Service, Weight: 1}}, Public: r.Open,
		Timeout: r.EffectiveDeadline(), Regions: r.Regions, At: at,
		Cost: float64(1 + response), // the shortest prompt or body costs one token
	}
}

func viewOrg(o *model.Org, at lint.Locator) lint.Org {
	out := lint.Org{
		Name: o.Name, Rate: float64(o.Rate), Burst: float64(o.Burst), Unit: "tokens",
		Regions: o.Regions, Routes: o.Routes, At: at,
	}
	for _, k := range o.Keys {
		out.Keys = append(out.Keys, k.Hash.String())
	}
	return out
}

// locator returns the paths of the attributes of a definition.
func locator[T any](file string, t *table[T], name string, names map[lint.Attr]string) lint.Locator {
	return func(a lint.Attr, index int) lint.Path {
		field, below, isList := strings.Cut(names[a], "[]")
		if isList && index >= 0 {
			field = fmt.Sprintf("%s[%d]%s", field, index, below)
		}
		return fieldPath(file, t, name, field)
	}
}

// fieldPath returns the path of a field of a definition, or that of the definition if
// field is empty.
func fieldPath[T any](file string, t *table[T], name, field string) lint.Path {
	p := lint.Path{File: file, Field: join(fmt.Sprintf("%s[%s]", t.list, name), field)}
	if e := t.entries[name]; e != nil {
		pos := e.fieldPosition(field)
		p.File, p.Line = pos.File, pos.Line
	}
	if field == "" {
		p.Field = strings.TrimSuffix(p.Field, ".")
	}
	return p
}

// defs returns definitions as they are written.
func defs[T any](file string, t *table[T], values []T) []lint.Def {
	out := make([]lint.Def, 0, len(values))
	for i := range values {
		name := t.name(&values[i])
		p := fieldPath(file, t, name, "")
		d := lint.Def{Key: p.Field, Path: p}
		v := reflect.ValueOf(&values[i]).Elem()
		for n := range v.NumField() {
			if v.Field(n).IsZero() {
				continue
			}
			field := yamlName(v.Type().Field(n))
			d.Fields = append(d.Fields, viewField(v.Field(n), field, fieldPath(file, t, name, field)))
		}
		out = append(out, d)
	}
	return out
}

func viewField(v reflect.Value, name string, p lint.Path) lint.Field {
	f := lint.Field{Name: name, Path: p, List: v.Kind() == reflect.Slice}
	if !f.List {
		f.Values = []string{formatValue(v)}
		return f
	}
	for i := range v.Len() {
		f.Values = append(f.Values, formatValue(v.Index(i)))
	}
	return f
}
