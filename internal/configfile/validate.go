package configfile

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

// validate checks contents by the validate tags of its fields. The error names the first invalid field by the
// file's own names, which are those in the tags with the key nameTag.
func validate(contents any, nameTag string) error {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get(nameTag) })
	if err := v.RegisterValidation("ipv4port", isIPv4AddrPort); err != nil {
		return err
	}
	err := v.Struct(contents)
	var failed validator.ValidationErrors
	if !errors.As(err, &failed) {
		return err
	}
	first := failed[0]
	_, path, _ := strings.Cut(first.Namespace(), ".") // without the name of the Go type
	shown := fmt.Sprint(first.Value())
	problem := fmt.Sprintf("fails the check %s %s (is %q)", first.Tag(), first.Param(), shown)
	return &FieldError{Field: path, Value: first.Value(), Problem: problem}
}

// isIPv4AddrPort reports whether a field is an IPv4 address with a port. It rejects host names, because the
// platform has no name resolution.
func isIPv4AddrPort(f validator.FieldLevel) bool {
	a, err := netip.ParseAddrPort(f.Field().String())
	return err == nil && a.Addr().Is4() && a.Port() != 0
}
