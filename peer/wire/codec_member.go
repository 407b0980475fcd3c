package wire

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/peer/peerpb"
)

func (e *Encoder) encodeHeartbeat(m control.Heartbeat) (*peerpb.Entry, error) {
	p := &peerpb.Heartbeat{
		ConfigVersion:   m.ConfigVersion,
		ConfigRevision:  uint64(m.ConfigRevision),
		TargetsRevision: uint64(m.TargetsRevision),
		Leaving:         m.Leaving,
		Follows:         m.Follows,
		WithoutState:    m.WithoutState,
	}
	if m.Incarnation != e.sender.Incarnation {
		p.Incarnation = proto.Uint64(uint64(m.Incarnation))
	}
	return &peerpb.Entry{Kind: &peerpb.Entry_Heartbeat{Heartbeat: p}}, nil
}

func (d *Decoder) decodeHeartbeat(p *peerpb.Heartbeat) (control.Message, error) {
	m := control.Heartbeat{
		Incarnation:   d.sender.Incarnation,
		ConfigVersion: p.GetConfigVersion(),
		Leaving:       p.GetLeaving(),

		ConfigRevision:  config.Revision(p.GetConfigRevision()),
		TargetsRevision: config.Revision(p.GetTargetsRevision()),
		Follows:         p.GetFollows(),
		WithoutState:    p.GetWithoutState(),
	}
	if p != nil && p.Incarnation != nil {
		m.Incarnation = control.Incarnation(p.GetIncarnation())
	}
	return m, nil
}

func (e *Encoder) encodeSuspectNotice(m control.SuspectNotice) (*peerpb.Entry, error) {
	origin, err := e.originRef(m.Node, m.Incarnation)
	if err != nil {
		return nil, err
	}
	p := &peerpb.SuspectNotice{Origin: origin}
	return &peerpb.Entry{Kind: &peerpb.Entry_SuspectNotice{SuspectNotice: p}}, nil
}

func (d *Decoder) decodeSuspectNotice(p *peerpb.SuspectNotice) (control.Message, error) {
	origin, err := d.origin(p.GetOrigin())
	if err != nil {
		return nil, err
	}
	return control.SuspectNotice{Node: origin.Node, Incarnation: origin.Incarnation}, nil
}

func (e *Encoder) encodeServiceReport(m control.ServiceReport) (*peerpb.Entry, error) {
	counts, err := e.encodeServiceCounts(m.Counts)
	if err != nil {
		return nil, err
	}
	return &peerpb.Entry{Kind: &peerpb.Entry_ServiceReport{ServiceReport: counts}}, nil
}

func (d *Decoder) decodeServiceReport(p *peerpb.ServiceCounts) (control.Message, error) {
	counts, err := d.decodeServiceCounts(p)
	if err != nil {
		return nil, err
	}
	return control.ServiceReport{Counts: counts}, nil
}

func (e *Encoder) encodeServiceTotals(m control.ServiceTotals) (*peerpb.Entry, error) {
	counts, err := e.encodeServiceCounts(m.Counts)
	if err != nil {
		return nil, err
	}
	return &peerpb.Entry{Kind: &peerpb.Entry_ServiceTotals{ServiceTotals: counts}}, nil
}

func (d *Decoder) decodeServiceTotals(p *peerpb.ServiceCounts) (control.Message, error) {
	counts, err := d.decodeServiceCounts(p)
	if err != nil {
		return nil, err
	}
	return control.ServiceTotals{Counts: counts}, nil
}

func (e *Encoder) encodeServiceCounts(counts []control.ServiceCount) (*peerpb.ServiceCounts, error) {
	if err := checkListLength(len(counts)); err != nil {
		return nil, err
	}
	p := &peerpb.ServiceCounts{}
	for _, count := range counts {
		workspace, err := e.nameRef(count.Workspace)
		if err != nil {
			return nil, err
		}
		p.Workspace = append(p.Workspace, workspace)
		p.Own = append(p.Own, toMicros(count.Own))
		p.Total = append(p.Total, toMicros(count.Total))
		p.Pending = append(p.Pending, toMicros(count.Pending))
		p.Waiting = append(p.Waiting, uint32(count.Waiting))
	}
	return p, nil
}

func (d *Decoder) decodeServiceCounts(p *peerpb.ServiceCounts) ([]control.ServiceCount, error) {
	length := len(p.GetWorkspace())
	if err := checkListLength(length); err != nil {
		return nil, err
	}
	if len(p.GetOwn()) != length || len(p.GetTotal()) != length ||
		len(p.GetPending()) != length || len(p.GetWaiting()) != length {
		return nil, fmt.Errorf("%w: service counts of unequal length", ErrMalformed)
	}
	var counts []control.ServiceCount
	for i := range length {
		workspace, err := d.name(p.GetWorkspace()[i])
		if err != nil {
			return nil, err
		}
		count := control.ServiceCount{
			Workspace: workspace,
			Own:       fromMicros(p.GetOwn()[i]),
			Total:     fromMicros(p.GetTotal()[i]),
			Pending:   fromMicros(p.GetPending()[i]),
			Waiting:   int(p.GetWaiting()[i]),
		}
		counts = append(counts, count)
	}
	return counts, nil
}
