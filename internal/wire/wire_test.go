package wire

import (
	"bytes"
	"encoding/binary"
	"io"
	"strings"
	"testing"
	"time"
)

// encodeFields encodes the values in sequence, big-endian.
func encodeFields(vals ...any) []byte {
	var b bytes.Buffer
	for _, v := range vals {
		if s, ok := v.(string); ok {
			b.WriteString(s)
			continue
		}
		if err := binary.Write(&b, binary.BigEndian, v); err != nil {
			panic(err)
		}
	}
	return b.Bytes()
}

// frame builds a batch of records, each padded to the size of an event.
func frame(clock float64, tail []byte, recs ...[]byte) []byte {
	body := []byte{}
	for _, r := range recs {
		body = append(body, append(r, make([]byte, eventSize-len(r))...)...)
	}
	body = append(body, tail...)
	return append(encodeFields(uint32(len(recs)), uint32(batchHeader+len(body)), clock), body...)
}

func TestReadBatch(t *testing.T) {
	entry := encodeFields(uint32(7), uint16(1), uint8(2), uint16(57), uint8(1), float32(1.5), float64(0))
	b := frame(15600.25, append([]byte("{}"), entry...),
		encodeFields(uint8(Start), uint16(3), uint64(99), uint32(0), uint32(2)),
		encodeFields(uint8(Table), uint16(4), uint32(2), uint32(1)),
		encodeFields(uint8(Discovery), uint16(3), uint64(41), uint8(Cached), uint16(4)),
		encodeFields(uint8(Call), uint16(3), uint32(5), uint64(6), 240.0, uint16(3), uint8(2), uint16(1), float32(57), 12.0),
		encodeFields(uint8(Outcome), uint16(3), uint32(5), uint32(7), 18.5, uint8(1), uint16(200), uint16(2), uint32(250),
			uint8(2), float32(0.5), float32(8)),
		encodeFields(uint8(Pong), uint16(3), uint32(7), uint16(429), 1.5, uint8(0)),
		encodeFields(uint8(Wake), uint16(3), uint64(77)),
		encodeFields(uint8(Vanished), uint16(5), uint32(8)),
		encodeFields(uint8(Teardown), uint16(3)),
	)
	now, ev, err := ReadBatch(bytes.NewReader(b))
	if err != nil {
		t.Fatal(err)
	}
	if now != 15600250*time.Microsecond || len(ev) != 9 {
		t.Fatalf("clock %v, %d events", now, len(ev))
	}
	if string(ev[0].Data) != "{}" || ev[0].Token != 99 {
		t.Errorf("start: %+v", ev[0])
	}
	want := Entry{Endpoint: 7, Zone: 1, Kind: 2, Destination: 57, Phase: 1, Weight: 1.5}
	if len(ev[1].Entries) != 1 || ev[1].Entries[0] != want || ev[1].ListNumber != 4 {
		t.Errorf("table: %+v", ev[1])
	}
	if ev[2].Kind != Cached || ev[2].ListNumber != 4 {
		t.Errorf("discovery: %+v", ev[2])
	}
	c := ev[3]
	if c.Request != 5 || c.Token != 6 || c.Deadline != 240*time.Millisecond || c.Flags != 3 || c.Class != 2 ||
		c.Tenant != 1 || c.Destination != 57 || c.WorkEstimate != 12*time.Millisecond {
		t.Errorf("call: %+v", c)
	}
	o := ev[4]
	if o.Request != 5 || o.Endpoint != 7 || o.Took != 18500*time.Microsecond || !o.Finished || o.Verdict != 200 ||
		o.Attempt != 2 || o.RetryAfter != 250*time.Millisecond || len(o.Report) != 2 || o.Report[1] != 8 {
		t.Errorf("outcome: %+v", o)
	}
	if ev[5].Verdict != 429 || ev[5].Took != 1500*time.Microsecond || ev[6].Token != 77 || ev[7].Request != 8 {
		t.Errorf("pong, wake and vanished: %+v", ev[5:])
	}
}

func TestReadBatchErrors(t *testing.T) {
	good := frame(1, []byte("tail"), encodeFields(uint8(Start), uint16(0), uint64(0), uint32(0), uint32(4)))
	huge := encodeFields(uint32(1<<31), uint32(1<<31), 0.0)
	for _, tc := range []struct {
		name string
		in   []byte
		want string
	}{
		{"cut header", good[:9], "batch header"},
		{"cut body", good[:40], "batch body"},
		{"size under the header", encodeFields(uint32(0), uint32(3), 0.0), "frame of 3 bytes"},
		{"oversized", huge, "frame of"},
		{"records that do not fit", encodeFields(uint32(9), uint32(64), 0.0), "9 records"},
		{"unknown code", frame(1, nil, encodeFields(uint8(200))), "record 0: unknown event code 200"},
		{"tail out of bounds", frame(1, []byte("x"), encodeFields(uint8(Start), uint16(0), uint64(0), uint32(0), uint32(2))),
			"outside the tail"},
		{"table out of bounds", frame(1, make([]byte, 30), encodeFields(uint8(Table), uint16(0), uint32(0), uint32(2))),
			"outside the tail"},
		{"long report", frame(1, nil, append(append(encodeFields(uint8(Outcome)), make([]byte, 27)...), 9)), "report of 9"},
		{"length without bytes", encodeFields(uint32(0), uint32(maxFrame), 0.0), "batch body"},
	} {
		_, _, err := ReadBatch(bytes.NewReader(tc.in))
		if err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s: got %v, want %q", tc.name, err, tc.want)
		}
	}
	if _, _, err := ReadBatch(bytes.NewReader(nil)); err != io.EOF {
		t.Errorf("end of input: got %v", err)
	}
}

func TestReply(t *testing.T) {
	pad := func(b []byte) []byte { return append(b, make([]byte, actionSize-len(b))...) }
	var r Reply
	r.Add(Action{Code: Assign, Instance: 3, Request: 5, Endpoint: 7, Delay: 80 * time.Millisecond})
	r.Add(Action{Code: NotNow, Instance: 3, Request: 6, Delay: 250500 * time.Microsecond})
	r.Add(Action{Code: Surrender, Instance: 3, Request: 8})
	r.Add(Action{Code: Recall, Instance: 3, Request: 8, Attempt: 2})
	r.Add(Action{Code: Sample, Instance: 3, Endpoint: 9})
	r.Add(Action{Code: WakeAt, Instance: 3, Token: 77, Delay: time.Second})
	r.Add(Action{Code: KeepInformed, Instance: 3})
	r.Add(Action{Code: Trace, Instance: 5, Text: "two"})
	r.Add(Action{Code: BailOut, Instance: 5, Text: "bad"})
	want := [][]byte{
		pad(encodeFields(uint8(65), uint16(3), uint32(5), uint32(7), 80.0)),
		pad(encodeFields(uint8(64), uint16(3), uint32(6), 250.5)),
		pad(encodeFields(uint8(67), uint16(3), uint32(8))),
		pad(encodeFields(uint8(74), uint16(3), uint32(8), uint16(2))),
		pad(encodeFields(uint8(75), uint16(3), uint32(9))),
		pad(encodeFields(uint8(71), uint16(3), uint64(77), 1000.0)),
		pad(encodeFields(uint8(73), uint16(3), uint8(1))),
		pad(encodeFields(uint8(72), uint16(5), uint32(0), uint32(3))),
		pad(encodeFields(uint8(66), uint16(5), uint32(3), uint32(3))),
	}
	whole := encodeFields(uint32(len(want)), uint32(replyHeader+len(want)*actionSize+6))
	whole = append(append(whole, bytes.Join(want, nil)...), "twobad"...)
	var got bytes.Buffer
	if _, err := r.WriteTo(&got); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got.Bytes(), whole) {
		t.Errorf("got  %x\nwant %x", got.Bytes(), whole)
	}
}

func FuzzReadBatch(f *testing.F) {
	f.Add(frame(1, []byte("tail"), encodeFields(uint8(Start), uint16(0), uint64(0), uint32(0), uint32(4))))
	f.Add(frame(2, nil, encodeFields(uint8(Call), uint16(3), uint32(5))))
	f.Add(frame(2, make([]byte, 44), encodeFields(uint8(Table), uint16(3), uint32(0), uint32(2))))
	f.Fuzz(func(t *testing.T, b []byte) {
		_, events, err := ReadBatch(bytes.NewReader(b))
		if err == nil && len(events)*eventSize+batchHeader > len(b) {
			t.Errorf("%d events from %d bytes", len(events), len(b))
		}
	})
}
