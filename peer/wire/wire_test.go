package wire

import (
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/peer/peerpb"
)

var (
	nodeA = Origin{Node: "a", Incarnation: 11}
	nodeB = Origin{Node: "b", Incarnation: 22}
)

// zeroMessages holds the zero value of every message kind.
var zeroMessages = []control.Message{
	control.Ticket{},
	control.Grant{},
	control.Report{},
	control.ReportAck{},
	control.Refusal{},
	control.CancelTicket{},
	control.Waiting{},
	control.Heartbeat{},
	control.ServiceReport{},
	control.ServiceTotals{},
	control.SuspectNotice{},
	control.QuarantineNotice{},
	control.PartEvidence{},
	control.UnreadNotice{},
	control.LeavingNotice{},
	control.AffinityNotice{},
	control.AffinityQuery{},
	control.AffinityAnswer{},
}

// codecPair is an encoder and the decoder at the other end of the session.
type codecPair struct {
	*Encoder
	*Decoder
}

func newCodecPair() codecPair {
	return codecPair{NewEncoder(nodeA, nodeB, nil), NewDecoder(nodeA, nodeB, nil)}
}

// roundTrip encodes messages to bytes and decodes them.
func (p codecPair) roundTrip(messages []control.Message) ([]control.Message, error) {
	var arrived []control.Message
	for len(messages) > 0 {
		frame, taken, err := p.EncodeFrame(messages)
		if err != nil {
			return nil, err
		}
		messages = messages[taken:]
		encoded, err := proto.Marshal(frame)
		if err != nil {
			return nil, err
		}
		if len(encoded) > MaxFrameBytes {
			return nil, fmt.Errorf("frame of %d bytes", len(encoded))
		}
		received := &peerpb.Frame{}
		if err := proto.Unmarshal(encoded, received); err != nil {
			return nil, err
		}
		part, err := p.DecodeFrame(received)
		if err != nil {
			return nil, err
		}
		arrived = append(arrived, part...)
	}
	return arrived, nil
}

// fillValue sets every field to a different value; durations are whole microseconds.
func fillValue(value reflect.Value, next *int64) {
	*next++
	switch value.Kind() {
	case reflect.Struct:
		for i := range value.NumField() {
			fillValue(value.Field(i), next)
		}
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), 3, 3))
		for i := range value.Len() {
			fillValue(value.Index(i), next)
		}
	case reflect.String:
		value.SetString(fmt.Sprintf("name-%d", *next))
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Int, reflect.Int64:
		if value.Type() == reflect.TypeFor[time.Duration]() {
			*next *= int64(time.Microsecond)
		}
		value.SetInt(*next)
		*next %= int64(time.Millisecond)
	case reflect.Uint32, reflect.Uint64:
		value.SetUint(uint64(*next))
	default:
		panic(fmt.Sprintf("fillValue has no case for %s", value.Type()))
	}
}

func filledMessage(message control.Message, seed int64) control.Message {
	value := reflect.New(reflect.TypeOf(message)).Elem()
	fillValue(value, &seed)
	return value.Interface().(control.Message)
}

// TestEveryKindHasCodec fails for a message type of package control that is not in
// zeroMessages or does not survive encoding and decoding unchanged.
func TestEveryKindHasCodec(t *testing.T) {
	listed := make(map[string]bool)
	for _, message := range zeroMessages {
		listed[reflect.TypeOf(message).Name()] = true
		want := filledMessage(message, 1)
		got, err := newCodecPair().roundTrip([]control.Message{want})
		if err != nil {
			t.Errorf("%T: %v", message, err)
			continue
		}
		if !reflect.DeepEqual(got, []control.Message{want}) {
			t.Errorf("%T:\n got %+v\nwant %+v", message, got, want)
		}
		if !slices.Contains(Kinds, KindOf(message)) {
			t.Errorf("%T has a kind that is not in Kinds", message)
		}
	}
	declared := declaredMessageTypes(t)
	for _, name := range declared {
		if !listed[name] {
			t.Errorf("control.%s has no codec", name)
		}
	}
	if len(declared) != len(zeroMessages) {
		t.Errorf("%d kinds declared, %d listed", len(declared), len(zeroMessages))
	}
}

// declaredMessageTypes returns the names of the message types declared in the
// source of package control.
func declaredMessageTypes(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob("../../control/*.go")
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, path := range files {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		source, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, source, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, declaration := range file.Decls {
			function, ok := declaration.(*ast.FuncDecl)
			if !ok || function.Recv == nil || function.Name.Name != "isMessage" {
				continue
			}
			names = append(names, function.Recv.List[0].Type.(*ast.Ident).Name)
		}
	}
	return names
}

func TestZeroValuesRoundTrip(t *testing.T) {
	got, err := newCodecPair().roundTrip(zeroMessages)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, zeroMessages) {
		t.Errorf("got %+v", got)
	}
}

// TestTablesStayInSync encodes and decodes more distinct names, shards and origins
// than the tables hold, in random order, with repeats.
func TestTablesStayInSync(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newCodecPair()
		for range rapid.IntRange(1, 8).Draw(t, "batches") {
			var batch []control.Message
			for range rapid.IntRange(1, 200).Draw(t, "messages") {
				seed := rapid.Int64Range(1, 20000).Draw(t, "seed")
				kind := rapid.SampledFrom(zeroMessages).Draw(t, "kind")
				batch = append(batch, filledMessage(kind, seed))
			}
			got, err := p.roundTrip(batch)
			if err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(got, batch) {
				t.Fatalf("a batch of %d messages changed in the round trip", len(batch))
			}
		}
	})
}

func TestLongServiceReportIsSplit(t *testing.T) {
	report := control.ServiceReport{}
	for i := range 5000 {
		count := control.ServiceCount{Workspace: fmt.Sprintf("workspace-%d", i), Own: time.Second}
		report.Counts = append(report.Counts, count)
	}
	got, err := newCodecPair().roundTrip(SplitServiceCounts([]control.Message{report}))
	if err != nil {
		t.Fatal(err)
	}
	var counts []control.ServiceCount
	for _, message := range got {
		counts = append(counts, message.(control.ServiceReport).Counts...)
	}
	if !reflect.DeepEqual(counts, report.Counts) {
		t.Errorf("%d of %d counts arrived", len(counts), len(report.Counts))
	}
}

func TestLimitsOfNamesAndLists(t *testing.T) {
	long := strings.Repeat("n", MaxNameBytes+1)
	many := make([]string, MaxListItems+1)
	for _, message := range []control.Message{
		control.Grant{Target: long},
		control.Ticket{Excluded: many},
		control.ServiceTotals{Counts: make([]control.ServiceCount, MaxListItems+1)},
	} {
		p := newCodecPair()
		frame, taken, err := p.EncodeFrame([]control.Message{message, heartbeat})
		if !errors.Is(err, ErrTooLarge) || taken != 1 {
			t.Errorf("%T: taken %d, error %v", message, taken, err)
		}
		if _, err := p.DecodeFrame(frame); err != nil {
			t.Errorf("%T: the frame before the error: %v", message, err)
		}
		if got, err := p.roundTrip([]control.Message{heartbeat}); err != nil || len(got) != 1 {
			t.Errorf("%T: the message after the error: %v, %v", message, got, err)
		}
	}
}

var heartbeat = control.Heartbeat{Incarnation: nodeA.Incarnation, ConfigVersion: 7}

func TestInvalidFramesAreRejected(t *testing.T) {
	entries := map[string]*peerpb.Entry{
		"empty entry":       {},
		"undefined name":    {Kind: &peerpb.Entry_Grant{Grant: &peerpb.Grant{Target: 1}}},
		"undefined shard":   {Kind: &peerpb.Entry_Waiting{Waiting: &peerpb.Waiting{Shard: 9}}},
		"undefined origin":  {Kind: &peerpb.Entry_SuspectNotice{SuspectNotice: &peerpb.SuspectNotice{Origin: 1 << 31}}},
		"empty name":        {Kind: &peerpb.Entry_Name{}},
		"long name":         {Kind: &peerpb.Entry_Name{Name: strings.Repeat("n", MaxNameBytes+1)}},
		"origin of no name": {Kind: &peerpb.Entry_Origin{Origin: &peerpb.OriginDefinition{Node: 5}}},
		"shard of no name":  {Kind: &peerpb.Entry_Shard{Shard: &peerpb.ShardDefinition{Pool: 5}}},
		"unequal counts": {Kind: &peerpb.Entry_ServiceReport{
			ServiceReport: &peerpb.ServiceCounts{Workspace: []uint32{0}}}},
		"long list": {Kind: &peerpb.Entry_QuarantineNotice{
			QuarantineNotice: &peerpb.QuarantineNotice{Crashes: make([]uint32, MaxListItems+1)}}},
		"keys without affinities": {Kind: &peerpb.Entry_AffinityNotice{
			AffinityNotice: &peerpb.AffinityNotice{Key: []uint64{1}}}},
		"undefined software": {Kind: &peerpb.Entry_AffinityAnswer{AffinityAnswer: &peerpb.AffinityAnswer{Software: 7}}},
	}
	for name, entry := range entries {
		frame := &peerpb.Frame{Entries: []*peerpb.Entry{entry}}
		if got, err := newCodecPair().DecodeFrame(frame); err == nil {
			t.Errorf("%s: decoded as %v", name, got)
		}
	}
}

// FuzzFrame decodes arbitrary bytes. Decoding must not panic, and messages that were
// decoded must be the same after encoding and decoding them again.
func FuzzFrame(f *testing.F) {
	var all []control.Message
	for i, message := range zeroMessages {
		all = append(all, filledMessage(message, int64(i)))
	}
	frame, _, err := NewEncoder(nodeA, nodeB, nil).EncodeFrame(all)
	if err != nil {
		f.Fatal(err)
	}
	seed, err := proto.Marshal(frame)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add(seed[:len(seed)/2])
	f.Fuzz(func(t *testing.T, data []byte) {
		frame := &peerpb.Frame{}
		if proto.Unmarshal(data, frame) != nil {
			return
		}
		p := newCodecPair()
		messages, err := p.DecodeFrame(frame)
		if err != nil {
			return
		}
		again, err := newCodecPair().roundTrip(messages)
		if err != nil {
			t.Fatal(err)
		}
		if len(messages) != len(again) || len(messages) > 0 && !reflect.DeepEqual(messages, again) {
			t.Fatalf("got %+v\nwant %+v", again, messages)
		}
	})
}
