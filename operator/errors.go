package operator

import (
	"errors"

	"github.com/walnutcove/walnutcove/config"
	configstore "github.com/walnutcove/walnutcove/config/store"
	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/store"
)

// errorBody turns any error into the document of the answer. Errors without a
// result code get fallback.
func errorBody(err error, fallback result.Code) ErrorBody {
	var coded *result.Error
	var conflict *config.VersionConflictError
	var invalidPatch *config.PatchError
	var invalidDeclarations *config.ValidationError
	var unknownVersion *configstore.UnknownVersionError
	var commitUnknown *configstore.CommitUnknownError
	switch {
	case errors.As(err, &coded):
		return bodyOf(coded)
	case errors.As(err, &conflict):
		body := bodyOf(result.New(result.VersionConflict, "%v", conflict))
		body.Newest = conflict.Newest
		body.WinnerPatchID = conflict.WinnerPatchID
		return body
	case errors.As(err, &invalidPatch):
		return bodyOf(result.New(result.InvalidPatch, "%v", invalidPatch))
	case errors.As(err, &invalidDeclarations):
		body := bodyOf(result.New(result.InvalidDeclaration, "%d problems", len(invalidDeclarations.Problems)))
		body.Problems = invalidDeclarations.Problems
		return body
	case errors.As(err, &unknownVersion):
		return bodyOf(result.New(result.UnknownVersion, "version %d does not exist", unknownVersion.Version))
	case errors.As(err, &commitUnknown):
		return bodyOf(result.New(result.CommitUnknown, "the outcome of patch %s is unknown", commitUnknown.PatchID))
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
