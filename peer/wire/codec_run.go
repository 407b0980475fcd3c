package wire

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/control/speed"
	"github.com/walnutcove/walnutcove/peer/peerpb"
)

func (e *Encoder) encodeReport(m control.Report) (*peerpb.Entry, error) {
	scheduler, errScheduler := e.originRef(m.Grant.Scheduler, m.Grant.Incarnation)
	origin, errOrigin := e.originRef(m.Ticket.Node, m.Ticket.Incarnation)
	shard, errShard := e.shardRef(m.Shard)
	workspace, errWorkspace := e.nameRef(m.Workspace)
	target, errTarget := e.nameRef(m.Target)
	if err := errors.Join(errScheduler, errOrigin, errShard, errWorkspace, errTarget); err != nil {
		return nil, err
	}
	p := &peerpb.Report{
		Scheduler:    scheduler,
		Seq:          m.Grant.Seq,
		TicketOrigin: origin,
		Request:      uint64(m.Ticket.Request),
		Attempt:      m.Ticket.Attempt,
		Shard:        shard,
		Workspace:    workspace,
		Target:       target,
		Phase:        int64(m.Phase),
		Outcome:      int64(m.Outcome),
		Service:      toMicros(m.Service),
		Fingerprint:  m.Fingerprint,
		PromptTokens: uint32(m.Work.PromptTokens),
		OutputTokens: uint32(m.Work.OutputTokens),
		Reads:        uint32(m.Reads),
		Began:        m.Began,
	}
	p.PartId, p.PartTokens = encodeParts(m.Work.Parts)
	p.Load = encodeLoad(m.Load, m.LoadAge)
	return &peerpb.Entry{Kind: &peerpb.Entry_Report{Report: p}}, nil
}

// loadFigures is the number of figures of a load in a report.
const loadFigures = 5

// encodeLoad returns the figures of a load and its age; nil if there is none.
func encodeLoad(load speed.Reading, age time.Duration) []uint32 {
	if load == (speed.Reading{}) && age == 0 {
		return nil
	}
	ageMicros := min(max(toMicros(age), 0), math.MaxUint32)
	return []uint32{uint32(load.Running), uint32(load.Waiting), uint32(load.Slots), uint32(load.Percent), uint32(ageMicros)}
}

// decodeLoad returns a load and its age. Figures that a later version adds are ignored.
func decodeLoad(figures []uint32) (load speed.Reading, age time.Duration, err error) {
	switch {
	case len(figures) == 0:
		return speed.Reading{}, 0, nil
	case len(figures) < loadFigures:
		return speed.Reading{}, 0, fmt.Errorf("%w: load of %d figures", ErrMalformed, len(figures))
	}
	load = speed.Reading{Running: int(figures[0]), Waiting: int(figures[1]), Slots: int(figures[2]), Percent: int(figures[3])}
	return load, fromMicros(int64(figures[4])), nil
}

func (d *Decoder) decodeReport(p *peerpb.Report) (control.Message, error) {
	grant, errGrant := d.decodeGrantID(p.GetScheduler(), p.GetSeq())
	origin, errOrigin := d.origin(p.GetTicketOrigin())
	shard, errShard := d.shard(p.GetShard())
	workspace, errWorkspace := d.name(p.GetWorkspace())
	target, errTarget := d.name(p.GetTarget())
	if err := errors.Join(errGrant, errOrigin, errShard, errWorkspace, errTarget); err != nil {
		return nil, err
	}
	work, errWork := decodeWork(p)
	load, loadAge, errLoad := decodeLoad(p.GetLoad())
	if err := errors.Join(errWork, errLoad); err != nil {
		return nil, err
	}
	return control.Report{
		Grant: grant,
		Ticket: control.TicketID{
			Node:        origin.Node,
			Incarnation: origin.Incarnation,
			Request:     control.RequestID(p.GetRequest()),
			Attempt:     p.GetAttempt(),
		},
		Shard:       shard,
		Workspace:   workspace,
		Target:      target,
		Phase:       control.RunPhase(p.GetPhase()),
		Outcome:     control.Outcome(p.GetOutcome()),
		Service:     fromMicros(p.GetService()),
		Fingerprint: p.GetFingerprint(),
		Work:        work,
		Reads:       int(p.GetReads()),
		Began:       p.GetBegan(),
		Load:        load,
		LoadAge:     loadAge,
	}, nil
}

func (e *Encoder) encodeReportAck(m control.ReportAck) (*peerpb.Entry, error) {
	scheduler, err := e.originRef(m.Grant.Scheduler, m.Grant.Incarnation)
	if err != nil {
		return nil, err
	}
	p := &peerpb.ReportAck{Scheduler: scheduler, Seq: m.Grant.Seq}
	return &peerpb.Entry{Kind: &peerpb.Entry_ReportAck{ReportAck: p}}, nil
}

func (d *Decoder) decodeReportAck(p *peerpb.ReportAck) (control.Message, error) {
	grant, err := d.decodeGrantID(p.GetScheduler(), p.GetSeq())
	if err != nil {
		return nil, err
	}
	return control.ReportAck{Grant: grant}, nil
}

func (e *Encoder) encodeQuarantineNotice(m control.QuarantineNotice) (*peerpb.Entry, error) {
	crashes, err := e.nameRefs(m.Crashes)
	if err != nil {
		return nil, err
	}
	if err := checkListLength(len(m.Running)); err != nil {
		return nil, err
	}
	p := &peerpb.QuarantineNotice{
		Fingerprint: m.Fingerprint,
		Crashes:     crashes,
		Running:     m.Running,
		Age:         toMicros(m.Age),
	}
	return &peerpb.Entry{Kind: &peerpb.Entry_QuarantineNotice{QuarantineNotice: p}}, nil
}

func (e *Encoder) encodePartEvidence(m control.PartEvidence) (*peerpb.Entry, error) {
	pool, err := e.nameRef(m.Pool)
	if err != nil {
		return nil, err
	}
	parts := slices.Concat(m.Runs...)
	lengths := make([]uint32, 0, len(m.Runs))
	for _, run := range m.Runs {
		lengths = append(lengths, uint32(len(run)))
	}
	if err := checkListLength(max(len(parts), len(lengths), len(m.Survived))); err != nil {
		return nil, err
	}
	p := &peerpb.PartEvidence{Pool: pool, Crash: m.Crash, Parts: parts, RunLengths: lengths, Survived: m.Survived, Age: toMicros(m.Age)}
	return &peerpb.Entry{Kind: &peerpb.Entry_PartEvidence{PartEvidence: p}}, nil
}

func (d *Decoder) decodePartEvidence(p *peerpb.PartEvidence) (control.Message, error) {
	pool, err := d.name(p.GetPool())
	if err != nil {
		return nil, err
	}
	parts := p.GetParts()
	if err := checkListLength(max(len(parts), len(p.GetRunLengths()), len(p.GetSurvived()))); err != nil {
		return nil, err
	}
	m := control.PartEvidence{Pool: pool, Crash: p.GetCrash(), Survived: p.GetSurvived(), Age: fromMicros(p.GetAge())}
	for _, length := range p.GetRunLengths() {
		if int64(length) > int64(len(parts)) {
			return nil, fmt.Errorf("%w: run of %d parts, %d left", ErrMalformed, length, len(parts))
		}
		m.Runs = append(m.Runs, parts[:length:length])
		parts = parts[length:]
	}
	return m, nil
}

func (d *Decoder) decodeQuarantineNotice(p *peerpb.QuarantineNotice) (control.Message, error) {
	crashes, err := d.nameList(p.GetCrashes())
	if err != nil {
		return nil, err
	}
	if err := checkListLength(len(p.GetRunning())); err != nil {
		return nil, err
	}
	return control.QuarantineNotice{
		Fingerprint: p.GetFingerprint(),
		Crashes:     crashes,
		Running:     p.GetRunning(),
		Age:         fromMicros(p.GetAge()),
	}, nil
}
