package pipeline

// NewAttempt returns an exchange for another attempt at the same request, beside the attempt that is
// in progress. It shares the caller with this exchange and has its own target, run and end: End
// must be called for it unless Adopt is.
func (ex *Exchange) NewAttempt() *Exchange {
	return &Exchange{
		Sequence: ex.Sequence,
		ID:       ex.ID,
		Arrived:  ex.Arrived,

		Method:          ex.Method,
		Path:            ex.Path,
		Host:            ex.Host,
		ContentType:     ex.ContentType,
		Header:          ex.Header,
		Body:            ex.Body,
		CallerGone:      ex.CallerGone,
		ProbeCallerGone: ex.ProbeCallerGone,
		OffloadedFrom:   ex.OffloadedFrom,
		GatherEvents:    ex.GatherEvents,
		HoldAnswer:      ex.HoldAnswer,
		ServingContext:  ex.ServingContext,

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
		LimitedByRoute: ex.LimitedByRoute,
		PrefixHash:     ex.PrefixHash,
		Fingerprint:    ex.Fingerprint,
		ResumedRequest: ex.ResumedRequest,
		CallerEventID:  ex.CallerEventID,
		Continues:      ex.Continues,
		Software:       ex.Software,
		Route:          ex.Route,
		Work:           ex.Work,

		Excluded:       append(ex.Excluded[:len(ex.Excluded):len(ex.Excluded)], ex.Target),
		EarlierRuns:    ex.EarlierRuns + 1,
		LastEventID:    ex.LastEventID,
		BeforeDispatch: ex.BeforeDispatch,
		parent:         ex,
	}
}

// Adopt makes the target and the run of another attempt those of this exchange. The attempt ends with
// this exchange.
func (ex *Exchange) Adopt(attempt *Exchange) {
	ex.Attempt = attempt.Attempt
	ex.EarlierRuns = attempt.EarlierRuns
	ex.Excluded = attempt.Excluded
	ex.Target = attempt.Target
	ex.Address = attempt.Address
	ex.TargetSoftware = attempt.TargetSoftware
	ex.TargetServes = attempt.TargetServes
	ex.Placement = attempt.Placement
	ex.FetchAddress = attempt.FetchAddress
	ex.AnswerFraming = attempt.AnswerFraming
	ex.Run = attempt.Run
	ex.OnEnd(attempt.End)
}
