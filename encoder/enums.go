package encoder

import (
	"encoding"
	"reflect"

	"github.com/cockroachdb/errors"
)

// Enums are texts on the wire. The CBOR library also takes a number for one,
// whether it has a name or not, so what was decoded is checked.

// textEnum is implemented by pointers to enums.
type textEnum interface {
	encoding.TextMarshaler
	encoding.TextUnmarshaler
}

var textEnumType = reflect.TypeFor[textEnum]()

// enumTypes tells, for each type that occurs in a message, whether its values may
// contain an enum.
var enumTypes = func() map[reflect.Type]bool {
	found := make(map[reflect.Type]bool)
	for _, message := range EmptyMessages() {
		findEnums(reflect.TypeOf(message).Elem(), found)
	}
	return found
}()

// isEnum reports whether values of the type are enums: numbers with texts.
func isEnum(typ reflect.Type) bool {
	return typ.Kind() == reflect.Int && reflect.PointerTo(typ).Implements(textEnumType)
}

// findEnums adds a type and those that it consists of to found, and reports
// whether its values may contain an enum.
func findEnums(typ reflect.Type, found map[reflect.Type]bool) bool {
	if has, known := found[typ]; known {
		return has
	}
	found[typ] = false
	has := isEnum(typ)
	switch typ.Kind() {
	case reflect.Map:
		has = findEnums(typ.Key(), found)
		has = findEnums(typ.Elem(), found) || has
	case reflect.Pointer, reflect.Slice, reflect.Array:
		has = findEnums(typ.Elem(), found)
	case reflect.Struct:
		for i := range typ.NumField() {
			has = findEnums(typ.Field(i).Type, found) || has
		}
	}
	found[typ] = has
	return has
}

// checkEnums returns an error that names the first field with an enum that has no
// name.
func checkEnums(value reflect.Value, field string) error {
	if !enumTypes[value.Type()] {
		return nil
	}
	switch value.Kind() {
	case reflect.Int:
		return checkEnum(value, field)
	case reflect.Pointer:
		if !value.IsNil() {
			return checkEnums(value.Elem(), field)
		}
	case reflect.Slice, reflect.Array:
		for i := range value.Len() {
			if err := checkEnums(value.Index(i), field); err != nil {
				return err
			}
		}
	case reflect.Map:
		for entries := value.MapRange(); entries.Next(); {
			if err := errors.CombineErrors(checkEnums(entries.Key(), field), checkEnums(entries.Value(), field)); err != nil {
				return err
			}
		}
	case reflect.Struct:
		for i := range value.NumField() {
			if typ := value.Type().Field(i); typ.IsExported() {
				if err := checkEnums(value.Field(i), typ.Name); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// checkEnum returns an error unless the number has a name.
func checkEnum(value reflect.Value, field string) error {
	enum := reflect.New(value.Type())
	enum.Elem().Set(value)
	text, err := enum.Interface().(textEnum).MarshalText()
	if err == nil {
		err = reflect.New(value.Type()).Interface().(textEnum).UnmarshalText(text)
	}
	return errors.Wrapf(err, "%s: got %d", field, value.Int())
}
