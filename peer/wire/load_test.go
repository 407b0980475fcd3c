package wire

import (
	"bytes"
	"encoding/hex"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/dynamicpb"
	"pgregory.net/rapid"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/control/speed"
	"github.com/walnutcove/walnutcove/peer/peerpb"
)

// frameWithoutLoad describes the frames of builds that do not know the field load of a report.
func frameWithoutLoad(t testing.TB) protoreflect.MessageDescriptor {
	t.Helper()
	file := protodesc.ToFileDescriptorProto(peerpb.File_peer_peerpb_peer_proto)
	removed := 0
	for _, message := range file.MessageType {
		if message.GetName() != "Report" {
			continue
		}
		before := len(message.Field)
		message.Field = slices.DeleteFunc(message.Field, func(f *descriptorpb.FieldDescriptorProto) bool { return f.GetName() == "load" })
		removed = before - len(message.Field)
	}
	if removed != 1 {
		t.Fatalf("%d fields removed from Report", removed)
	}
	descriptor, err := protodesc.NewFile(file, nil)
	if err != nil {
		t.Fatal(err)
	}
	return descriptor.Messages().ByName("Frame")
}

// encodeReport returns the bytes of a frame with a report.
func encodeReport(t rapid.TB, report control.Report) []byte {
	frame, _, err := NewEncoder(nodeA, nodeB, nil).EncodeFrame([]control.Message{report})
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(frame)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

func drawReport(t *rapid.T) control.Report {
	report := filledMessage(control.Report{}, rapid.Int64Range(1, 20000).Draw(t, "seed")).(control.Report)
	report.Phase = control.RunPhase(rapid.IntRange(0, 4).Draw(t, "phase"))
	report.Outcome = control.Outcome(rapid.IntRange(0, 6).Draw(t, "outcome"))
	report.Load, report.LoadAge = speed.Reading{}, 0
	return report
}

// TestReportWithoutLoadHasBytesOfBefore guards against bytes that a pool whose targets report no
// load would pay for, and against other bytes in reports to builds that do not know the load.
func TestReportWithoutLoadHasBytesOfBefore(t *testing.T) {
	before := frameWithoutLoad(t)
	rapid.Check(t, func(t *rapid.T) {
		encoded := encodeReport(t, drawReport(t))
		frame := dynamicpb.NewMessage(before)
		if err := (proto.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(encoded, frame); err != nil {
			t.Fatal(err)
		}
		again, err := proto.MarshalOptions{Deterministic: true}.Marshal(frame)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(encoded, again) {
			t.Fatalf("got  %x\nwant %x", encoded, again)
		}
	})
}

// encodedBefore is a frame with reportBefore, encoded by the last build without loads.
const encodedBefore = "0a0a6a086472616674696e670a076a05696b656a610a067a04080110020a086a0662616b6572790a046a0274310a201a1e0801104d20e80728" +
	"0130013803400448045880890f61efcdab8967452301"

var reportBefore = control.Report{
	Grant:       control.GrantID{Scheduler: nodeB.Node, Incarnation: nodeB.Incarnation, Seq: 77},
	Ticket:      control.TicketID{Node: nodeA.Node, Incarnation: nodeA.Incarnation, Request: 1000, Attempt: 1},
	Shard:       control.ShardID{Pool: "drafting", DataCentre: "ikeja"},
	Workspace:   "bakery",
	Target:      "t1",
	Phase:       control.PhaseBegan,
	Service:     123456 * time.Microsecond,
	Fingerprint: 0x0123456789abcdef,
}

// TestReportWithoutLoadMatchesRecordedBytes guards against changes of the encoding that a
// comparison of present builds does not show.
func TestReportWithoutLoadMatchesRecordedBytes(t *testing.T) {
	if got := hex.EncodeToString(encodeReport(t, reportBefore)); got != encodedBefore {
		t.Errorf("got  %s\nwant %s", got, encodedBefore)
	}
}

// TestBuildsWithoutLoadDecodeReports guards against sessions that end when a router of an older
// build gets a report with a load: it must read the rest of it unchanged.
func TestBuildsWithoutLoadDecodeReports(t *testing.T) {
	before := frameWithoutLoad(t)
	rapid.Check(t, func(t *rapid.T) {
		report := drawReport(t)
		without := encodeReport(t, report)
		report.Load = speed.Reading{Running: rapid.IntRange(0, 10000).Draw(t, "running"), Slots: 12, Percent: rapid.IntRange(1, 10000).Draw(t, "percent")}
		report.LoadAge = time.Duration(rapid.IntRange(0, 10_000_000).Draw(t, "age")) * time.Microsecond
		frame := dynamicpb.NewMessage(before)
		if err := (proto.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(encodeReport(t, report), frame); err != nil {
			t.Fatal(err)
		}
		decoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(frame)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(decoded, without) {
			t.Fatalf("got  %x\nwant %x", decoded, without)
		}
	})
}

// TestLoadOfReportIsDecoded guards against a load that ends the session because a later build
// adds a figure, against a short one that is accepted, and against an age that wraps around.
func TestLoadOfReportIsDecoded(t *testing.T) {
	want := speed.Reading{Running: 3, Waiting: 1, Slots: 8, Percent: 250}
	if load, age, err := decodeLoad([]uint32{3, 1, 8, 250, 7, 99}); err != nil || load != want || age != 7*time.Microsecond {
		t.Errorf("%+v, %v, %v", load, age, err)
	}
	if load, _, err := decodeLoad([]uint32{3, 1, 8, 250}); err == nil {
		t.Errorf("four figures decoded as %+v", load)
	}
	for age, wantAge := range map[time.Duration]time.Duration{-time.Second: 0, 100 * time.Hour: (1<<32 - 1) * time.Microsecond} {
		if _, got, err := decodeLoad(encodeLoad(want, age)); err != nil || got != wantAge {
			t.Errorf("age %v: %v, %v", age, got, err)
		}
	}
}
