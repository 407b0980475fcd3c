package operator

import (
	"errors"
	"fmt"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/result"
)

// ConflictError says that another patch took the version after the base.
type ConflictError struct {
	// Base is the version that the refused patch was made against.
	Base config.Version
	// Newest is the version that stands now.
	Newest config.Version
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("patch against version %d: version %d is the newest", e.Base, e.Newest)
}

// errorBody turns any error into the answer's document. Errors that carry no
// code get fallback.
func errorBody(err error, fallback result.Code) ErrorBody {
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		body := bodyOf(result.New(result.VersionConflict, "%s", conflict.Error()))
		body.Newest = conflict.Newest
		return body
	}
	var numbered *result.Error
	if errors.As(err, &numbered) {
		return bodyOf(numbered)
	}
	return bodyOf(result.Wrap(fallback, err, "%s", fallback.Info().Meaning))
}

func bodyOf(err *result.Error) ErrorBody {
	info := err.Code.Info()
	return ErrorBody{
		Code:   int(err.Code),
		Name:   info.Name,
		Detail: err.Detail,
		Ran:    err.Ran.String(),
		Retry:  info.Retry,
	}
}
