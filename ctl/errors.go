package ctl

import (
	"fmt"

	"github.com/walnutcove/walnutcove/operator"
	"github.com/walnutcove/walnutcove/result"
)

// Exit is an exit code of walnutctl. The numbers do not change.
type Exit int

// The exit codes.
const (
	// ExitOK: done.
	ExitOK Exit = 0
	// ExitFailure: a failure that no other code describes.
	ExitFailure Exit = 1
	// ExitUsage: the command line is wrong or a file cannot be read.
	ExitUsage Exit = 2
	// ExitConflict: another patch took the version; nothing was changed.
	ExitConflict Exit = 3
	// ExitUnavailable: no router could be reached, or the platform could not;
	// the configuration was not changed.
	ExitUnavailable Exit = 4
	// ExitWaitTimeout: the version was accepted but is not yet in force on
	// every listed router.
	ExitWaitTimeout Exit = 5
	// ExitUnknown: the patch may have been accepted.
	ExitUnknown Exit = 6
	// ExitInvalid: the declarations or the patch are not valid; nothing was changed.
	ExitInvalid Exit = 7
	// ExitDenied: the operator key is missing or wrong; nothing was changed.
	ExitDenied Exit = 8
	// ExitNotFound: the version or router does not exist.
	ExitNotFound Exit = 9
	// ExitDifferent: diff found differences.
	ExitDifferent Exit = 10
)

// Error is a failure with its exit code and advice.
type Error struct {
	// Exit is the exit code.
	Exit Exit
	// Code is the result code that a router answered; zero if there is none.
	Code result.Code
	// Summary says what failed, in one short sentence.
	Summary string
	// Details are further lines, such as one for each invalid field.
	Details []string
	// Next says what to do next.
	Next string
	// Cause is the underlying error; nil if there is none.
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Code == result.OK {
		return e.Summary
	}
	return fmt.Sprintf("result %d (%s): %s", e.Code, e.Code.Info().Name, e.Summary)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Cause }

// advice holds the exit code and the next step for a result code.
type advice struct {
	exit Exit
	next string
}

var adviceByCode = map[result.Code]advice{
	result.VersionConflict:     {ExitConflict, "look at the newest version (walnutctl diff, walnutctl history), then send the change again"},
	result.InvalidPatch:        {ExitInvalid, "correct the patch; it must be a JSON merge patch over workspaces, pools and targets"},
	result.InvalidDeclaration:  {ExitInvalid, "correct the fields named above; nothing was changed"},
	result.PlatformUnavailable: {ExitUnavailable, "try again when the platform's table service answers; routers go on with the version in force"},
	result.UnknownVersion:      {ExitNotFound, "list the versions with walnutctl history"},
	result.OperatorKeyWrong:    {ExitDenied, "set WALNUT_OPERATOR_KEY or --key-file to a key whose hash is in the routers' operators.key_hashes"},
	result.CommitUnknown:       {ExitUnknown, "send it again with the same --id and --base; it takes effect once at most"},
	result.UnknownRouter:       {ExitNotFound, "list the routers with walnutctl status"},
	result.RouterUnreachable:   {ExitUnavailable, "it is safe to repeat; ask the router itself with --router"},
	result.BodyTooLarge:        {ExitInvalid, "split the change into several smaller patches"},
	result.NotReady:            {ExitUnavailable, "ask another router with --router, or try again shortly"},
}

// routerError turns a router's error document into an *Error.
func routerError(body operator.ErrorBody) *Error {
	e := &Error{Exit: ExitFailure, Code: result.Code(body.Code), Summary: body.Detail}
	if known, ok := adviceByCode[e.Code]; ok {
		e.Exit = known.exit
		e.Next = known.next
	}
	for _, problem := range body.Problems {
		e.Details = append(e.Details, problem.String())
	}
	return e
}
