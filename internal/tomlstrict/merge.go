package tomlstrict

import (
	"reflect"
	"sort"
)

// FieldConflict is a field that two sides changed differently. An empty text
// means that the side has no such entry.
type FieldConflict struct {
	Field, Base, Mine, Theirs string
}

// Merge sets the struct that into points to from the three-way merge of its
// fields: maps entry by entry, nested structs field by field, everything else
// as a whole. Where both sides changed a field differently, their value stays
// and a conflict is returned. All four arguments point to the same type.
func Merge(into, base, mine, theirs any) []FieldConflict {
	return mergeStruct(reflect.ValueOf(into).Elem(), reflect.ValueOf(base).Elem(),
		reflect.ValueOf(mine).Elem(), reflect.ValueOf(theirs).Elem(), "")
}

func mergeStruct(into, base, mine, theirs reflect.Value, prefix string) []FieldConflict {
	var conflicts []FieldConflict
	for _, f := range fieldsOf(into.Type()) {
		i := f.index
		path := prefix + f.name
		switch {
		case isTable(into.Field(i)):
			conflicts = append(conflicts, mergeStruct(into.Field(i), base.Field(i), mine.Field(i), theirs.Field(i), path+".")...)
		case into.Field(i).Kind() == reflect.Map:
			conflicts = append(conflicts, mergeMap(into.Field(i), base.Field(i), mine.Field(i), theirs.Field(i), f, path)...)
		default:
			merged, conflict := mergeValue(base.Field(i), mine.Field(i), theirs.Field(i), f, path)
			into.Field(i).Set(merged)
			conflicts = append(conflicts, conflict...)
		}
	}
	return conflicts
}

func format(v reflect.Value, f field) string {
	if !v.IsValid() {
		return ""
	}
	return Format(v.Interface(), f.options)
}

// mergeValue merges one value. Invalid values stand for absent map entries.
func mergeValue(base, mine, theirs reflect.Value, f field, path string) (reflect.Value, []FieldConflict) {
	b, m, t := format(base, f), format(mine, f), format(theirs, f)
	switch {
	case m == t || m == b:
		return theirs, nil
	case t == b:
		return mine, nil
	}
	return theirs, []FieldConflict{{path, b, m, t}}
}

func mergeMap(into, base, mine, theirs reflect.Value, f field, path string) []FieldConflict {
	var conflicts []FieldConflict
	merged := reflect.MakeMap(into.Type())
	for _, k := range unionKeys(base, mine, theirs) {
		value, conflict := mergeValue(base.MapIndex(k), mine.MapIndex(k), theirs.MapIndex(k), f, path+"."+key(k.String()))
		if value.IsValid() {
			merged.SetMapIndex(k, value)
		}
		conflicts = append(conflicts, conflict...)
	}
	into.SetZero()
	if merged.Len() > 0 {
		into.Set(merged)
	}
	return conflicts
}

func unionKeys(maps ...reflect.Value) []reflect.Value {
	seen := map[string]bool{}
	var keys []reflect.Value
	for _, m := range maps {
		for _, k := range m.MapKeys() {
			if !seen[k.String()] {
				seen[k.String()] = true
				keys = append(keys, k)
			}
		}
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].String() < keys[j].String() })
	return keys
}
