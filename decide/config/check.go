package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"strings"
	"sync"

	"github.com/go-playground/validator/v10"
	"github.com/gravitational/trace"
)

// InvalidError reports an object that fails validation.
type InvalidError struct {
	Kind Kind
	Name string
	// Field is the invalid JSON member, empty when the whole object is invalid.
	Field string
	// Problem describes the fault and the allowed values.
	Problem string
}

// Error returns a message with the object, the field and the problem.
func (e *InvalidError) Error() string {
	where := string(e.Kind) + "/" + e.Name
	if e.Field != "" {
		where += ": " + e.Field
	}
	return where + ": " + e.Problem
}

// namePattern matches valid object names.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

var structValidator = sync.OnceValue(func() *validator.Validate {
	return validator.New(validator.WithRequiredStructEnabled())
})

// Check returns an InvalidError when body is not a valid object of the kind, and a KindError
// for an unknown kind.
func Check(kind Kind, name string, body []byte) error {
	if !namePattern.MatchString(name) {
		return trace.Wrap(&InvalidError{kind, name, "name", "use up to 63 of a-z, 0-9, '.', '_' and '-', starting with a letter or digit"})
	}
	switch kind {
	case KindService:
		return checkBody[Service](kind, name, body)
	case KindTeam:
		return checkBody[Team](kind, name, body)
	case KindPolicy:
		return checkBody[Policy](kind, name, body)
	}
	return trace.Wrap(&KindError{kind})
}

// checkBody decodes body strictly and validates it.
func checkBody[T any](kind Kind, name string, body []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	var value T
	if err := decoder.Decode(&value); err != nil {
		return trace.Wrap(&InvalidError{kind, name, fieldOf(err), err.Error()})
	}
	if decoder.More() {
		return trace.Wrap(&InvalidError{kind, name, "", "more than one JSON value"})
	}
	var fields validator.ValidationErrors
	if err := structValidator().Struct(value); errors.As(err, &fields) {
		f := fields[0]
		return trace.Wrap(&InvalidError{kind, name, strings.ToLower(f.Field()), fmt.Sprintf("must satisfy %s %s", f.Tag(), f.Param())})
	}
	return nil
}

// fieldOf returns the JSON member that a decoding error refers to, or "".
func fieldOf(err error) string {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return typeErr.Field
	}
	return ""
}
