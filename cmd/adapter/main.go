// Command adapter hosts couriers and serves the wire protocol of the bench on standard
// input and output. It only translates; the decision module makes every decision.
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

// instance is one courier with its events of the current batch.
type instance struct {
	courier *snowjunction.Courier
	events  []snowjunction.Event
	active  bool
	failure string
}

// host holds the instances and the numbered endpoint lists of the process.
type host struct {
	instances map[uint16]*instance
	lists     map[uint16][]snowjunction.Endpoint
	order     []uint16 // instances with events, in the order of their first event
}

// run serves batches until the end of the input.
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

// batch passes the events to their instances and collects the actions.
func (h *host) batch(now time.Duration, events []wire.Event) (*wire.Reply, error) {
	h.order = h.order[:0]
	for i, ev := range events {
		switch ev.Code {
		case wire.Table:
			h.lists[ev.ListNumber] = endpoints(ev.Entries)
		case wire.Start:
			in := h.activate(ev.Instance)
			*in = instance{active: true}
			settings, err := config.ParseSettings(ev.Token, ev.Data)
			if err != nil {
				return nil, fmt.Errorf("record %d: instance %d: %w", i, ev.Instance, err)
			}
			if in.courier, err = snowjunction.New(settings); err != nil {
				in.failure = err.Error()
			}
		case wire.Teardown:
			*h.activate(ev.Instance) = instance{active: true}
		default:
			in := h.activate(ev.Instance)
			if e := translate(ev, h.lists); e != nil {
				in.events = append(in.events, e)
			}
		}
	}
	reply := &wire.Reply{}
	for _, instanceID := range h.order {
		in := h.instances[instanceID]
		in.active = false
		if in.courier != nil {
			in.handle(instanceID, now, reply)
		}
		if in.failure != "" {
			reply.Add(wire.Action{Code: wire.BailOut, Instance: instanceID, Text: in.failure})
			in.courier, in.failure = nil, ""
		}
		in.events = in.events[:0]
	}
	return reply, nil
}

// activate returns an instance, created if necessary, and marks it as part of the batch.
func (h *host) activate(instanceID uint16) *instance {
	in := h.instances[instanceID]
	if in == nil {
		in = &instance{}
		h.instances[instanceID] = in
	}
	if !in.active {
		in.active = true
		h.order = append(h.order, instanceID)
	}
	return in
}

// handle runs the module. A panic becomes the failure of the instance.
func (in *instance) handle(instanceID uint16, now time.Duration, reply *wire.Reply) {
	defer func() {
		if p := recover(); p != nil {
			in.failure = fmt.Sprintf("panic: %v", p)
		}
	}()
	for _, a := range in.courier.Handle(now, in.events) {
		reply.Add(encode(instanceID, a))
	}
}

// endpoints converts the entries of an endpoint list.
func endpoints(entries []wire.Entry) []snowjunction.Endpoint {
	out := make([]snowjunction.Endpoint, 0, len(entries))
	for _, e := range entries {
		out = append(out, snowjunction.Endpoint{
			ID: snowjunction.EndpointID(e.Endpoint), Destination: snowjunction.DestinationID(e.Destination),
			Zone: int(e.Zone), Kind: int(e.Kind), Phase: snowjunction.Phase(e.Phase), Weight: float64(e.Weight),
		})
	}
	return out
}

// outcomeOfVerdict maps the verdicts of the wire protocol to outcomes.
var outcomeOfVerdict = map[uint16]snowjunction.Outcome{
	200: snowjunction.OK, 502: snowjunction.Error, 429: snowjunction.Rejected, 408: snowjunction.TimedOut,
	521: snowjunction.ConnectFailed, 520: snowjunction.Reset, 444: snowjunction.Cancelled, 409: snowjunction.NotSent,
}

// outcome maps a verdict to an outcome. An unknown verdict counts as an error, the outcome
// that proves nothing about the call.
func outcome(verdict uint16) snowjunction.Outcome {
	if o, ok := outcomeOfVerdict[verdict]; ok {
		return o
	}
	return snowjunction.Error
}

// translate converts an event of the wire protocol, or returns nil if the module has no use for it.
func translate(ev wire.Event, lists map[uint16][]snowjunction.Endpoint) snowjunction.Event {
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
			list.Endpoints = lists[ev.ListNumber]
		}
		return list
	case wire.Call:
		return snowjunction.Request{
			ID: snowjunction.RequestID(ev.Request), Destination: snowjunction.DestinationID(ev.Destination),
			Class: int(ev.Class), Tenant: int(ev.Tenant), Key: ev.Token, Deadline: ev.Deadline,
			Work: workHint(ev), Resubmitted: ev.Flags&2 != 0,
		}
	case wire.Started:
		return snowjunction.StreamStarted{Request: snowjunction.RequestID(ev.Request), Attempt: int(ev.Attempt)}
	case wire.Outcome:
		e := snowjunction.AttemptEnded{
			Request: snowjunction.RequestID(ev.Request), Endpoint: snowjunction.EndpointID(ev.Endpoint),
			Attempt: int(ev.Attempt), Outcome: outcome(ev.Verdict), Took: ev.Took, Done: ev.Finished,
			Report: ev.Report,
		}
		if e.Outcome == snowjunction.Rejected {
			e.RetryAfter = ev.RetryAfter
		}
		return e
	case wire.Pong:
		return snowjunction.ProbeEnded{
			Endpoint: snowjunction.EndpointID(ev.Endpoint), Outcome: outcome(ev.Verdict), Took: ev.Took,
			Report: ev.Report,
		}
	case wire.Vanished:
		return snowjunction.Withdrawn{Request: snowjunction.RequestID(ev.Request)}
	case wire.Wake:
		return snowjunction.Timer{Token: ev.Token}
	}
	return nil // messages from peers (Inbox) have no content that this module uses
}

// workHint returns the estimated duration of the work if bit 0 marks it as valid, otherwise zero.
func workHint(ev wire.Event) time.Duration {
	if ev.Flags&1 == 0 {
		return 0
	}
	return ev.WorkEstimate
}

// encode converts an action to the wire protocol.
func encode(instanceID uint16, a snowjunction.Action) wire.Action {
	switch a := a.(type) {
	case snowjunction.Send:
		return wire.Action{Code: wire.Assign, Instance: instanceID, Request: uint32(a.Request),
			Endpoint: uint32(a.Endpoint), Delay: a.Timeout}
	case snowjunction.Refuse:
		return wire.Action{Code: wire.NotNow, Instance: instanceID, Request: uint32(a.Request), Delay: a.RetryAfter}
	case snowjunction.Fail:
		return wire.Action{Code: wire.Surrender, Instance: instanceID, Request: uint32(a.Request)}
	case snowjunction.Cancel:
		return wire.Action{Code: wire.Recall, Instance: instanceID, Request: uint32(a.Request), Attempt: uint16(a.Attempt)}
	case snowjunction.Probe:
		return wire.Action{Code: wire.Sample, Instance: instanceID, Endpoint: uint32(a.Endpoint)}
	case snowjunction.CloseIdle:
		return wire.Action{Code: wire.Disconnect, Instance: instanceID, Endpoint: uint32(a.Endpoint)}
	case snowjunction.Watch:
		return wire.Action{Code: wire.KeepInformed, Instance: instanceID}
	case snowjunction.SetTimer:
		return wire.Action{Code: wire.WakeAt, Instance: instanceID, Token: a.Token, Delay: a.After}
	case snowjunction.Log:
		return wire.Action{Code: wire.Trace, Instance: instanceID, Text: a.Text}
	}
	return wire.Action{Code: wire.BailOut, Instance: instanceID, Text: fmt.Sprintf("unknown action %T", a)}
}
