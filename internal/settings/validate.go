package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

// Validate checks a file's contents by the tags of its fields. The error names the field at
// fault as the file does, by the names in the given kind of tag.
func Validate(contents any, nameTag string) error {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get(nameTag) })
	if err := v.RegisterValidation("ipv4port", isAddress); err != nil {
		return err
	}
	err := v.Struct(contents)
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) {
		return err
	}
	f := fields[0]
	_, path, _ := strings.Cut(f.Namespace(), ".")
	return fmt.Errorf("%s: fails the check %s %s (is %q)", path, f.Tag(), f.Param(), fmt.Sprint(f.Value()))
}

// isAddress tells an IPv4 address with its port. Only numbers exist on the platform: there
// are no name look-ups.
func isAddress(f validator.FieldLevel) bool {
	a, err := netip.ParseAddrPort(f.Field().String())
	return err == nil && a.Addr().Is4() && a.Port() != 0
}
