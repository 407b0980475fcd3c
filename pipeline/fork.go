package pipeline

// Fork returns an exchange for the run of ex: the same request, with an answer and an end of
// its own, so that the run can go on when ex has ended.
func (ex *Exchange) Fork() *Exchange {
	return &Exchange{
		Sequence:       ex.Sequence,
		ID:             ex.ID,
		Arrived:        ex.Arrived,
		Method:         ex.Method,
		Path:           ex.Path,
		Host:           ex.Host,
		ContentType:    ex.ContentType,
		Header:         ex.Header,
		Body:           ex.Body,
		CallerGone:     ex.CallerGone,
		LookForCaller:  ex.LookForCaller,
		Serving:        ex.Serving,
		Hold:           ex.Hold,
		Snapshot:       ex.Snapshot,
		WorkspaceName:  ex.WorkspaceName,
		Workspace:      ex.Workspace,
		PoolName:       ex.PoolName,
		Pool:           ex.Pool,
		Model:          ex.Model,
		Stream:         ex.Stream,
		Idempotent:     ex.Idempotent,
		IdempotencyKey: ex.IdempotencyKey,
		CostHint:       ex.CostHint,
		Deadline:       ex.Deadline,
		PrefixHash:     ex.PrefixHash,
		Fingerprint:    ex.Fingerprint,
		Route:          ex.Route,
		Work:           ex.Work,
		BeforeDispatch: ex.BeforeDispatch,
	}
}

// Adopt takes over how the run of ex went and what it answered. The run ends with ex.
func (ex *Exchange) Adopt(run *Exchange) {
	ex.TargetServes = run.TargetServes
	ex.Attempt = run.Attempt
	ex.Target = run.Target
	ex.Address = run.Address
	ex.Excluded = run.Excluded
	ex.Placed = run.Placed
	ex.FetchAddress = run.FetchAddress
	ex.AfterEvent = run.AfterEvent
	ex.Run = run.Run
	ex.Status = run.Status
	ex.AnswerHeader = run.AnswerHeader
	ex.AnswerBody = run.AnswerBody
	ex.AnswerStream = run.AnswerStream
	ex.began.Store(run.began.Load())
	ex.OnEnd(run.End)
}

// Whether a run was begun before its exchange ended.
const (
	undecided int32 = iota
	sending
	endedUnsent
)

// BeginSend is called right before a request is sent to a target. It reports false if the
// caller has been told meanwhile that the request has not run.
func (ex *Exchange) BeginSend() bool {
	return ex.sent.CompareAndSwap(undecided, sending) || ex.sent.Load() == sending
}

// EndUnsent decides that the request is not sent any more. It reports false if it may have
// been sent.
func (ex *Exchange) EndUnsent() bool { return ex.sent.CompareAndSwap(undecided, endedUnsent) }
