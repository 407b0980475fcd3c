package result

// Codes by filter. The meaning of a code never changes once it is released.
const (
	// OK means that the request was answered completely.
	OK Code = 0

	// accept: 100-199.
	BadRequest       Code = 101
	BodyTooLarge     Code = 102
	HeadersTooLarge  Code = 103
	UnknownPath      Code = 104
	SlowSender       Code = 105
	MethodNotAllowed Code = 106
	HeldBytesFull    Code = 107
	VersionBehind    Code = 108

	// authenticate: 200-299.
	KeyMissing Code = 201
	KeyWrong   Code = 202

	// classify: 300-399.
	UnknownModel          Code = 301
	PoolNotAllowed        Code = 302
	BadHeader             Code = 303
	IdempotencyKeyMissing Code = 304

	// guard (quarantine and run record): 400-499.
	Quarantined       Code = 401
	RecordUnavailable Code = 402
	RecordInProgress  Code = 403
	RecordUnknown     Code = 404
	RecordMismatch    Code = 405
	RecordLapsed      Code = 406
	RecordNotKept     Code = 407
	PartQuarantined   Code = 408

	// admit: 500-599.
	QueueFull      Code = 501
	QueueBytesFull Code = 502
	Draining       Code = 503
	NotReady       Code = 504

	// grant: 600-699.
	DeadlineBeforeGrant  Code = 601
	NoTarget             Code = 602
	SchedulerUnreachable Code = 603
	CallerGone           Code = 604
	Overloaded           Code = 605
	TargetsEvacuated     Code = 606
	NoHomeTarget         Code = 607
	TargetsUnavailable   Code = 608
	SoftwareUnavailable  Code = 609
	StreamUnknown        Code = 610

	// dispatch: 700-799.
	ConnectFailed     Code = 701
	TargetRefused     Code = 702
	RetryBudgetEmpty  Code = 703
	FirstByteTimeout  Code = 704
	TargetLostRequest Code = 705
	TargetLeft        Code = 706
	ExecutorLost      Code = 711

	// relay: 800-899.
	StreamBroken    Code = 801
	TargetError     Code = 802
	AnswerTooSlow   Code = 803
	AnswerBytesFull Code = 804

	// any filter: 900-999.
	Internal Code = 901

	// operators' API: 1000-1099.
	VersionConflict     Code = 1001
	InvalidPatch        Code = 1002
	InvalidDeclaration  Code = 1003
	PlatformUnavailable Code = 1004
	UnknownVersion      Code = 1005
	OperatorKeyWrong    Code = 1006
	WaitTimeout         Code = 1007
	CommitUnknown       Code = 1008
	UnknownRouter       Code = 1009
	RouterUnreachable   Code = 1010
)

// Info describes a code: a row of docs/RESULTS.md.
type Info struct {
	// Code is the number.
	Code Code
	// Name is the reason as written in metric labels and logs.
	Name string
	// Filter names the filter, or other part, that returns the code.
	Filter string
	// Status is the HTTP status sent with it.
	Status int
	// Ran reports whether the request may have run.
	Ran Ran
	// Retry reports whether the caller may send the same request again.
	Retry bool
	// Meaning explains the code in one sentence.
	Meaning string
}

var infoTable = []Info{
	{OK, "ok", "settle", 200, RanYes, false, "The request was answered whole."},
	{BadRequest, "bad_request", "accept", 400, RanNo, false, "The request is not valid HTTP or JSON."},
	{BodyTooLarge, "body_too_large", "accept", 413, RanNo, false, "The body is over the size limit."},
	{HeadersTooLarge, "headers_too_large", "accept", 431, RanNo, false, "The headers are over the size or count limit."},
	{UnknownPath, "unknown_path", "accept", 404, RanNo, false, "No pool serves this path."},
	{SlowSender, "slow_sender", "accept", 408, RanNo, true, "The request did not arrive within the read time limit."},
	{MethodNotAllowed, "method_not_allowed", "accept", 405, RanNo, false, "The path does not take this method."},
	{HeldBytesFull, "held_bytes_full", "accept", 503, RanNo, true, "The router holds too many bytes of requests, or too many of this workspace."},
	{VersionBehind, "version_behind", "accept", 503, RanNo, true, "The router is fetching a newer configuration version, which may have the path or key that it does not know."},
	{KeyMissing, "key_missing", "authenticate", 401, RanNo, false, "No workspace key was sent."},
	{KeyWrong, "key_wrong", "authenticate", 401, RanNo, false, "The workspace key is not known."},
	{UnknownModel, "unknown_model", "classify", 404, RanNo, false, "No pool serves this model."},
	{PoolNotAllowed, "pool_not_allowed", "classify", 403, RanNo, false, "The workspace may not use this pool."},
	{BadHeader, "bad_header", "classify", 400, RanNo, false, "A walnutcove header has a value that cannot be read."},
	{IdempotencyKeyMissing, "idempotency_key_missing", "classify", 400, RanNo, false, "A non-idempotent request came without an Idempotency-Key."},
	{Quarantined, "quarantined", "guard", 422, RanNo, false, "The request is quarantined: targets crashed while they ran it."},
	{RecordUnavailable, "record_unavailable", "guard", 503, RanNo, true, "The run record could not be written, so the request was not run."},
	{RecordInProgress, "record_in_progress", "guard", 409, RanUnknown, true, "A request with this Idempotency-Key is in progress."},
	{RecordUnknown, "record_unknown", "guard", 409, RanUnknown, false, "A request with this Idempotency-Key may have run; its outcome is unknown."},
	{RecordMismatch, "record_mismatch", "guard", 422, RanNo, false, "This Idempotency-Key was used with a different request."},
	{RecordLapsed, "record_lapsed", "guard", 503, RanNo, true, "The run record lapsed before dispatch, so the request was not run."},
	{RecordNotKept, "record_not_kept", "guard", 409, RanYes, false, "A request with this Idempotency-Key ran and was answered; the answer was not kept."},
	{PartQuarantined, "part_quarantined", "guard", 503, RanNo, true, "Targets crashed while they ran prompts with the same parts."},
	{QueueFull, "queue_full", "admit", 429, RanNo, true, "The workspace has too many requests waiting."},
	{QueueBytesFull, "queue_bytes_full", "admit", 429, RanNo, true, "The workspace has too many bytes waiting."},
	{Draining, "draining", "admit", 503, RanNo, true, "This router is leaving and takes no new work."},
	{NotReady, "not_ready", "admit", 503, RanNo, true, "This router has no configuration version yet."},
	{DeadlineBeforeGrant, "deadline_before_grant", "grant", 504, RanNo, true, "The deadline cannot be met or has passed before a target was free."},
	{NoTarget, "no_target", "grant", 503, RanNo, true, "No live target serves this request."},
	{SchedulerUnreachable, "scheduler_unreachable", "grant", 503, RanNo, true, "No scheduler could be reached and none may run here."},
	{CallerGone, "caller_gone", "grant", 499, RanNo, false, "The caller went away before the request was dispatched."},
	{Overloaded, "overloaded", "grant", 503, RanNo, true, "What waits already is too much for an answer in time."},
	{TargetsEvacuated, "targets_evacuated", "grant", 503, RanNo, true, "All targets that could serve this request are in evacuated data centres."},
	{NoHomeTarget, "no_home_target", "grant", 503, RanNo, true, "No live target is in the regions that the route and the workspace allow."},
	{TargetsUnavailable, "targets_unavailable", "grant", 503, RanNo, true, "Each live target that could serve this request has failed it, turned it away or asked this router to wait."},
	{SoftwareUnavailable, "software_unavailable", "grant", 503, RanNo, true, "No live target runs the software version that began the stream."},
	{StreamUnknown, "stream_unknown", "grant", 503, RanNo, true, "It is not known which software version began the stream that the request continues."},
	{ConnectFailed, "connect_failed", "dispatch", 502, RanNo, true, "No target could be connected to."},
	{TargetRefused, "target_refused", "dispatch", 503, RanNo, true, "The target refused the request before running it."},
	{RetryBudgetEmpty, "retry_budget_empty", "dispatch", 503, RanUnknown, true, "The request failed and the retry budget is used up."},
	{FirstByteTimeout, "first_byte_timeout", "dispatch", 504, RanUnknown, true, "The target did not begin to answer in time."},
	{TargetLostRequest, "target_lost_request", "dispatch", 502, RanUnknown, true, "The target closed the connection before it answered."},
	{TargetLeft, "target_left", "dispatch", 503, RanNo, true, "The target left before the request was sent to it."},
	{ExecutorLost, "executor_lost", "dispatch", 502, RanUnknown, true, "The router that served the request on behalf of this one was lost before it answered."},
	{StreamBroken, "stream_broken", "relay", 502, RanUnknown, true, "The answer broke off and could not be resumed."},
	{TargetError, "target_error", "relay", 502, RanYes, true, "The target answered with an error."},
	{AnswerTooSlow, "answer_too_slow", "relay", 504, RanUnknown, true, "The answer stopped making progress."},
	{AnswerBytesFull, "answer_bytes_full", "relay", 502, RanUnknown, true, "The answer cannot be held whole for an HTTP/1.0 caller: the router holds too many bytes of answers, or too many of this workspace."},
	{Internal, "internal", "any", 500, RanUnknown, false, "The router failed; the request may have run."},
	{VersionConflict, "version_conflict", "operators", 409, RanNo, true, "Another patch took this version; read the newest and patch again."},
	{InvalidPatch, "invalid_patch", "operators", 400, RanNo, false, "The patch cannot be read."},
	{InvalidDeclaration, "invalid_declaration", "operators", 422, RanNo, false, "The configuration would not be valid after the patch."},
	{PlatformUnavailable, "platform_unavailable", "operators", 503, RanNo, true, "The table service cannot be reached; nothing was changed."},
	{UnknownVersion, "unknown_version", "operators", 404, RanNo, false, "The version does not exist."},
	{OperatorKeyWrong, "operator_key_wrong", "operators", 401, RanNo, false, "The operator key is missing or wrong."},
	{WaitTimeout, "wait_timeout", "operators", 504, RanYes, true, "The version was accepted but is not yet in force on every router."},
	{CommitUnknown, "commit_unknown", "operators", 504, RanUnknown, true, "The outcome of the patch is unknown; send it again with the same patch id."},
	{UnknownRouter, "unknown_router", "operators", 404, RanNo, false, "The platform's list holds no router of this name."},
	{RouterUnreachable, "router_unreachable", "operators", 503, RanUnknown, true, "The router did not answer the one that was asked."},
}

var byCode = func() map[Code]Info {
	m := make(map[Code]Info, len(infoTable))
	for _, row := range infoTable {
		m[row.Code] = row
	}
	return m
}()

// Table returns a copy of the rows of all codes, in numeric order.
func Table() []Info {
	return append([]Info(nil), infoTable...)
}

// Info returns the row of c. For an unknown code it returns a row named "unknown_code"
// with status 500 and RanUnknown.
func (c Code) Info() Info {
	if row, ok := byCode[c]; ok {
		return row
	}
	return Info{Code: c, Name: "unknown_code", Filter: "none", Status: 500, Ran: RanUnknown, Meaning: "A code this build does not know."}
}
