package pipeline

import (
	"context"
	"reflect"
	"slices"
	"testing"
	"time"
)

// TestNewAttemptHasTheRequest guards against fields of a request that another attempt at it lacks.
func TestNewAttemptHasTheRequest(t *testing.T) {
	// own are the fields that differ between attempts or belong to the answer.
	own := []string{
		"EndBy", "TargetServes", "Attempt", "Target", "Address", "Excluded", "EarlierRuns", "TargetSoftware", "Placement",
		"FetchAddress", "Run", "Status", "AnswerHeader", "AnswerBody", "AnswerStream", "AnswerFraming",
	}
	ex := &Exchange{}
	value := reflect.ValueOf(ex).Elem()
	for i := range value.NumField() {
		if field := value.Field(i); field.CanSet() {
			setNonZero(field)
		}
	}
	ex.Excluded, ex.Target = []string{"engine-1"}, "engine-2"
	attempt := ex.NewAttempt()
	for i := range value.NumField() {
		field := value.Type().Field(i)
		if field.IsExported() && !slices.Contains(own, field.Name) && reflect.ValueOf(attempt).Elem().Field(i).IsZero() {
			t.Errorf("the attempt has no %s", field.Name)
		}
	}
	if !slices.Equal(attempt.Excluded, []string{"engine-1", "engine-2"}) {
		t.Errorf("excluded %v", attempt.Excluded)
	}
}

// setNonZero sets a field to a value other than its zero value.
func setNonZero(field reflect.Value) {
	switch field.Kind() {
	case reflect.String:
		field.SetString("x")
	case reflect.Bool:
		field.SetBool(true)
	case reflect.Int, reflect.Int64:
		field.SetInt(1)
	case reflect.Uint64:
		field.SetUint(1)
	case reflect.Slice:
		field.Set(reflect.MakeSlice(field.Type(), 1, 1))
	case reflect.Map:
		field.Set(reflect.MakeMap(field.Type()))
	case reflect.Pointer:
		field.Set(reflect.New(field.Type().Elem()))
	case reflect.Func:
		field.Set(reflect.MakeFunc(field.Type(), nil))
	case reflect.Chan:
		field.Set(reflect.MakeChan(reflect.ChanOf(reflect.BothDir, field.Type().Elem()), 0).Convert(field.Type()))
	case reflect.Interface:
		if ctx := reflect.ValueOf(context.Background()); ctx.Type().Implements(field.Type()) {
			field.Set(ctx)
		}
	case reflect.Struct:
		if field.Type() == reflect.TypeFor[time.Time]() {
			field.Set(reflect.ValueOf(time.Now()))
			return
		}
		for i := range field.NumField() {
			if field.Field(i).CanSet() {
				setNonZero(field.Field(i))
			}
		}
	}
}

// TestAttemptSharesItsCaller guards against a call that continues after the caller of its request has
// disconnected.
func TestAttemptSharesItsCaller(t *testing.T) {
	ex := &Exchange{}
	attempt, called := ex.NewAttempt(), false
	attempt.OnCallerGone(func() { called = true })
	if ex.NotifyCallerGone(); !called {
		t.Error("the attempt's hook was not called")
	}
}
