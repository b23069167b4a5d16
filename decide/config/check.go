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

// InvalidError is an object that cannot be accepted.
type InvalidError struct {
	Kind Kind
	Name string
	// Field is the member at fault, empty when it is the whole object.
	Field string
	// Problem says what is wrong and what is allowed.
	Problem string
}

// Error names the object, the field and the problem.
func (e *InvalidError) Error() string {
	where := string(e.Kind) + "/" + e.Name
	if e.Field != "" {
		where += ": " + e.Field
	}
	return where + ": " + e.Problem
}

// namePattern is what names of objects look like.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

var checker = sync.OnceValue(func() *validator.Validate {
	return validator.New(validator.WithRequiredStructEnabled())
})

// Check returns an InvalidError when body is no acceptable object of the kind.
func Check(kind Kind, name string, body []byte) error {
	if !namePattern.MatchString(name) {
		return trace.Wrap(&InvalidError{kind, name, "name", "use up to 63 of a-z, 0-9, '.', '_' and '-', starting with a letter or digit"})
	}
	switch kind {
	case KindService:
		return check[Service](kind, name, body)
	case KindTeam:
		return check[Team](kind, name, body)
	case KindPolicy:
		return check[Policy](kind, name, body)
	}
	return trace.Wrap(&KindError{kind})
}

// check decodes body strictly and validates it.
func check[T any](kind Kind, name string, body []byte) error {
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
	if err := checker().Struct(value); errors.As(err, &fields) {
		f := fields[0]
		return trace.Wrap(&InvalidError{kind, name, strings.ToLower(f.Field()), fmt.Sprintf("must satisfy %s %s", f.Tag(), f.Param())})
	}
	return nil
}

// fieldOf returns the member that a decoding error is about.
func fieldOf(err error) string {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		return wrong.Field
	}
	return ""
}
