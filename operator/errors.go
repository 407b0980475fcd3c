package operator

import (
	"errors"

	"github.com/walnutcove/walnutcove/config"
	configstore "github.com/walnutcove/walnutcove/config/store"
	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/store"
)

// errorBody turns any error into the answer's document. Errors that carry no
// code get fallback.
func errorBody(err error, fallback result.Code) ErrorBody {
	var numbered *result.Error
	var conflict *config.VersionConflictError
	var broken *config.PatchError
	var invalid *config.ValidationError
	var absent *configstore.UnknownVersionError
	var unknown *configstore.CommitUnknownError
	switch {
	case errors.As(err, &numbered):
		return bodyOf(numbered)
	case errors.As(err, &conflict):
		body := bodyOf(result.New(result.VersionConflict, "%v", conflict))
		body.Newest = conflict.Newest
		body.WinnerPatchID = conflict.WinnerPatchID
		return body
	case errors.As(err, &broken):
		return bodyOf(result.New(result.InvalidPatch, "%v", broken))
	case errors.As(err, &invalid):
		body := bodyOf(result.New(result.InvalidDeclaration, "%d problems", len(invalid.Problems)))
		body.Problems = invalid.Problems
		return body
	case errors.As(err, &absent):
		return bodyOf(result.New(result.UnknownVersion, "version %d does not exist", absent.Version))
	case errors.As(err, &unknown):
		return bodyOf(result.New(result.CommitUnknown, "the outcome of patch %s is unknown", unknown.PatchID))
	case errors.Is(err, store.ErrUnavailable):
		return bodyOf(result.New(result.PlatformUnavailable, "%s", result.PlatformUnavailable.Info().Meaning))
	default:
		return bodyOf(result.New(fallback, "%s", fallback.Info().Meaning))
	}
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
