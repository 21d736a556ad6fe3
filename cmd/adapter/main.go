// Command adapter hosts couriers and speaks the bench's wire on standard
// input and output. It translates; every decision is the module's.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"snowjunction"
	"snowjunction/internal/config"
	"snowjunction/internal/wire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// instance is one courier with the events of the batch at hand.
type instance struct {
	courier *snowjunction.Courier
	events  []snowjunction.Event
	active  bool
	failure string
}

// host holds the instances and the process's numbered endpoint lists.
type host struct {
	instances map[uint16]*instance
	lists     map[uint16][]snowjunction.Endpoint
	order     []uint16 // instances with events, in order of their first
}

func run(in io.Reader, out io.Writer) error {
	r, w := bufio.NewReaderSize(in, 1<<16), bufio.NewWriterSize(out, 1<<16)
	h := &host{instances: map[uint16]*instance{}, lists: map[uint16][]snowjunction.Endpoint{}}
	for {
		now, events, err := wire.ReadBatch(r)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read batch: %w", err)
		}
		reply, err := h.batch(now, events)
		if err != nil {
			return err
		}
		if _, err := reply.WriteTo(w); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("flush reply: %w", err)
		}
	}
}

// batch hands every instance its events and collects the actions.
func (h *host) batch(now time.Duration, events []wire.Event) (*wire.Reply, error) {
	h.order = h.order[:0]
	for i, ev := range events {
		switch ev.Code {
		case wire.Table:
			h.lists[ev.Page] = endpoints(ev.Entries)
		case wire.Start:
			in := h.activate(ev.Who)
			*in = instance{active: true}
			settings, err := config.ParseSettings(ev.Token, ev.Data)
			if err != nil {
				return nil, fmt.Errorf("record %d: instance %d: %w", i, ev.Who, err)
			}
			if in.courier, err = snowjunction.New(settings); err != nil {
				in.failure = err.Error()
			}
		case wire.Teardown:
			*h.activate(ev.Who) = instance{active: true}
		default:
			in := h.activate(ev.Who)
			if e := translate(ev, h.lists); e != nil {
				in.events = append(in.events, e)
			}
		}
	}
	reply := &wire.Reply{}
	for _, who := range h.order {
		in := h.instances[who]
		in.active = false
		if in.courier != nil {
			in.handle(who, now, reply)
		}
		if in.failure != "" {
			reply.Add(wire.Action{Code: wire.BailOut, Who: who, Text: in.failure})
			in.courier, in.failure = nil, ""
		}
		in.events = in.events[:0]
	}
	return reply, nil
}

func (h *host) activate(who uint16) *instance {
	in := h.instances[who]
	if in == nil {
		in = &instance{}
		h.instances[who] = in
	}
	if !in.active {
		in.active = true
		h.order = append(h.order, who)
	}
	return in
}

// handle runs the module; a panic becomes the instance's fault.
func (in *instance) handle(who uint16, now time.Duration, reply *wire.Reply) {
	defer func() {
		if p := recover(); p != nil {
			in.failure = fmt.Sprintf("panic: %v", p)
		}
	}()
	for _, a := range in.courier.Handle(now, in.events) {
		reply.Add(encode(who, a))
	}
}

func endpoints(entries []wire.Entry) []snowjunction.Endpoint {
	out := make([]snowjunction.Endpoint, 0, len(entries))
	for _, e := range entries {
		out = append(out, snowjunction.Endpoint{
			ID: snowjunction.EndpointID(e.Endpoint), Destination: snowjunction.DestinationID(e.Dest),
			Zone: int(e.Zone), Kind: int(e.Kind), Phase: snowjunction.Phase(e.Phase), Weight: float64(e.Weight),
		})
	}
	return out
}

var outcomeOfVerdict = map[uint16]snowjunction.Outcome{
	200: snowjunction.OK, 502: snowjunction.Error, 429: snowjunction.Rejected, 408: snowjunction.TimedOut,
	521: snowjunction.ConnectFailed, 520: snowjunction.Reset, 444: snowjunction.Cancelled, 409: snowjunction.NotSent,
}

// outcome takes a verdict it does not know for an error: that proves nothing.
func outcome(verdict uint16) snowjunction.Outcome {
	if o, ok := outcomeOfVerdict[verdict]; ok {
		return o
	}
	return snowjunction.Error
}

func translate(ev wire.Event, pages map[uint16][]snowjunction.Endpoint) snowjunction.Event {
	switch ev.Code {
	case wire.Discovery:
		kinds := []snowjunction.ListKind{
			wire.Full: snowjunction.ListFull, wire.Cached: snowjunction.ListCached,
			wire.Failed: snowjunction.ListFailed, wire.Delta: snowjunction.ListDelta,
		}
		if int(ev.Kind) >= len(kinds) {
			return nil
		}
		list := snowjunction.List{Kind: kinds[ev.Kind]}
		if list.Kind != snowjunction.ListFailed {
			list.Endpoints = pages[ev.Page]
		}
		return list
	case wire.Call:
		return snowjunction.Request{
			ID: snowjunction.RequestID(ev.Req), Destination: snowjunction.DestinationID(ev.Dest),
			Class: int(ev.Class), Tenant: int(ev.Tenant), Key: ev.Token, Deadline: ev.Budget,
			Work: workHint(ev), Resubmitted: ev.Bits&2 != 0,
		}
	case wire.Started:
		return snowjunction.StreamStarted{Request: snowjunction.RequestID(ev.Req), Attempt: int(ev.Seq)}
	case wire.Outcome:
		e := snowjunction.AttemptEnded{
			Request: snowjunction.RequestID(ev.Req), Endpoint: snowjunction.EndpointID(ev.Endpoint),
			Attempt: int(ev.Seq), Outcome: outcome(ev.Verdict), Took: ev.Took, Done: ev.Finished,
			Report: ev.Report,
		}
		if e.Outcome == snowjunction.Rejected {
			e.RetryAfter = ev.Wait
		}
		return e
	case wire.Pong:
		return snowjunction.ProbeEnded{
			Endpoint: snowjunction.EndpointID(ev.Endpoint), Outcome: outcome(ev.Verdict), Took: ev.Took,
			Report: ev.Report,
		}
	case wire.Vanished:
		return snowjunction.Withdrawn{Request: snowjunction.RequestID(ev.Req)}
	case wire.Wake:
		return snowjunction.Timer{Token: ev.Token}
	}
	return nil // notes from peers carry nothing this module uses
}

// workHint returns the work hint where the bits call it valid.
func workHint(ev wire.Event) time.Duration {
	if ev.Bits&1 == 0 {
		return 0
	}
	return ev.Estimate
}

func encode(who uint16, a snowjunction.Action) wire.Action {
	switch a := a.(type) {
	case snowjunction.Send:
		return wire.Action{Code: wire.Assign, Who: who, Req: uint32(a.Request),
			Endpoint: uint32(a.Endpoint), After: a.Timeout}
	case snowjunction.Refuse:
		return wire.Action{Code: wire.NotNow, Who: who, Req: uint32(a.Request), After: a.RetryAfter}
	case snowjunction.Fail:
		return wire.Action{Code: wire.Surrender, Who: who, Req: uint32(a.Request)}
	case snowjunction.Cancel:
		return wire.Action{Code: wire.Recall, Who: who, Req: uint32(a.Request), Seq: uint16(a.Attempt)}
	case snowjunction.Probe:
		return wire.Action{Code: wire.Sample, Who: who, Endpoint: uint32(a.Endpoint)}
	case snowjunction.CloseIdle:
		return wire.Action{Code: wire.Disconnect, Who: who, Endpoint: uint32(a.Endpoint)}
	case snowjunction.Watch:
		return wire.Action{Code: wire.KeepInformed, Who: who}
	case snowjunction.SetTimer:
		return wire.Action{Code: wire.WakeAt, Who: who, Token: a.Token, After: a.After}
	case snowjunction.Log:
		return wire.Action{Code: wire.Trace, Who: who, Text: a.Text}
	}
	return wire.Action{Code: wire.BailOut, Who: who, Text: fmt.Sprintf("unknown action %T", a)}
}
