package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"snowjunction/internal/openload"
	"snowjunction/internal/rig"
	"snowjunction/internal/standin"
	"snowjunction/internal/standin/load"
	"snowjunction/internal/standin/partner"
	"snowjunction/internal/standin/sink"
)

// loadCommand sends an open-loop load to a courier and prints the result.
type loadCommand struct {
	Resp     string        `placeholder:"ADDR" help:"Address of the courier's platform front (RESP2)."`
	PushAddr string        `name:"push" placeholder:"ADDR" help:"Address of its push front (HTTP/2, prior knowledge)."`
	Rig      bool          `help:"Start a courier and simulated partners on loopback and load that courier."`
	Sink     bool          `help:"Load a sink that accepts everything at once, to measure the load generator itself."`
	Rate     float64       `default:"100" help:"Messages per second."`
	For      time.Duration `default:"10s" help:"Duration of the load."`
	Even     bool          `help:"Send at even intervals instead of as a Poisson process."`
	Share    float64       `default:"0.5" help:"Share of messages sent over HTTP/2 if both fronts are given."`
	Orders   float64       `default:"0.72" help:"Share of messages of class order; the rest are of class status."`
	PerKey   float64       `default:"3" help:"Average number of messages per ordering key."`
	Keyed    float64       `help:"Share of status messages with an idempotency key; all orders have one."`
	Skew     float64       `default:"0.8" help:"Exponent of the Zipf distribution of messages over destinations."`
	To       string        `default:"1" placeholder:"LIST" help:"Destinations over RESP2, such as 1-8,12."`
	PushTo   string        `default:"1" placeholder:"LIST" help:"Destinations over HTTP/2, in the same form."`
	Tenant   string        `default:"town" help:"Tenant of the messages."`
	Deadline time.Duration `default:"20s" help:"Deadline of orders; status messages get two fifths of it."`
	Conns    int           `default:"8" help:"Number of connections to each front."`
	Pipeline int           `default:"64" help:"Maximum number of unanswered messages per connection."`
	Settle   time.Duration `default:"5s" help:"How long to wait for the last replies."`
	Seed     uint64        `default:"1" help:"Seed of the generated load."`
	Partners int           `default:"8" help:"With --rig: number of partners of each front."`
	Slots    int           `default:"64" help:"With --rig: maximum number of concurrent calls of the courier."`
	Held     int           `default:"2000" help:"With --rig: maximum number of messages that the courier holds."`
	JSON     string        `placeholder:"FILE" help:"Output file for the result as JSON; '-' is standard output."`
}

func (c loadCommand) Run() (err error) {
	o := openload.Options{
		Mix: openload.Mix{
			Rate: c.Rate, Duration: c.For, Even: c.Even, PushShare: c.Share, OrderShare: c.Orders, MessagesPerKey: c.PerKey, StatusKeyedShare: c.Keyed, Skew: c.Skew,
			Tenant: c.Tenant, Seed: c.Seed, Deadline: c.Deadline, Prefix: strconv.FormatInt(time.Now().UnixNano(), 36) + "-",
		},
		RespAddr: c.Resp, PushAddr: c.PushAddr, Conns: c.Conns, Pipeline: c.Pipeline, Settle: c.Settle,
	}
	if o.RESPDestinations, err = parseDestinations(c.To); err == nil {
		o.PushDestinations, err = parseDestinations(c.PushTo)
	}
	if err != nil {
		return err
	}
	var settle func() load.Results
	switch {
	case c.Rig && c.Sink || (c.Rig || c.Sink) && c.Resp+c.PushAddr != "":
		return fmt.Errorf("a courier's addresses, --rig and --sink are mutually exclusive")
	case c.Sink:
		s, err := sink.New()
		if err != nil {
			return err
		}
		defer s.Close()
		o.RespAddr, o.PushAddr = s.Resp, s.Push
	case c.Rig:
		var stopRig func()
		if settle, stopRig, err = c.rig(&o); err != nil {
			return err
		}
		defer stopRig()
	case c.Resp == "" && c.PushAddr == "":
		return fmt.Errorf("no courier given: --resp and --push name a courier's fronts; --rig starts one")
	case c.Resp == "":
		o.Mix.PushShare = 1
	case c.PushAddr == "":
		o.Mix.PushShare = 0
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	showProgress := newProgressLine()
	o.Progress = func(at time.Duration, due int) {
		showProgress("%.0f of %.0f s, %d messages", at.Seconds(), c.For.Seconds(), due)
	}
	r, err := openload.Run(ctx, o)
	showProgress("")
	if err != nil {
		return err
	}
	if c.JSON != "-" {
		if err := r.Print(os.Stdout); err != nil {
			return err
		}
	}
	if err := writeJSON(c.JSON, r); err != nil {
		return err
	}
	if settle != nil {
		e := settle()
		fmt.Fprintf(os.Stderr, "of %d accepted: %d delivered, %d returned, %d abandoned, %d without a final result, %d with more than one\n",
			e.Taken, e.Delivered, e.Returned, e.Given, e.Open, e.Doubled)
		if e.Open+e.Doubled > 0 {
			return fmt.Errorf("%d messages have no final result, %d have more than one", e.Open, e.Doubled)
		}
	}
	if !r.KeptPace() {
		return fmt.Errorf("the load generator fell behind: use a lower rate or a faster machine")
	}
	return nil
}

// rig starts a courier with simulated partners of both fronts and points o at it. It returns a
// function that waits for the final results of all messages and counts them, and one that stops
// everything.
func (c loadCommand) rig(o *openload.Options) (settle func() load.Results, stop func(), err error) {
	exe, err := os.Executable()
	if err != nil {
		return nil, nil, err
	}
	dir, err := os.MkdirTemp("", "snowjunction-load-")
	if err != nil {
		return nil, nil, err
	}
	profile := partner.Profile{Latency: 20 * time.Millisecond, Capacity: 1e6, Queue: 10000, RetryAfterShare: 1, ReportsLimit: true, MaxReportAge: 200 * time.Millisecond}
	var specs []standin.Spec
	o.RESPDestinations, o.PushDestinations = nil, nil
	for i := range c.Partners {
		for _, http2 := range []bool{false, true} {
			n := uint32(len(specs) + 1)
			specs = append(specs, standin.Spec{Destination: n, Endpoints: 2, HTTP2: http2, Profile: profile, Seed: c.Seed + uint64(i)})
			if http2 {
				o.PushDestinations = append(o.PushDestinations, n)
			} else {
				o.RESPDestinations = append(o.RESPDestinations, n)
			}
		}
	}
	partners, err := rig.NewEnvironment(dir, specs)
	if err != nil {
		os.RemoveAll(dir)
		return nil, nil, err
	}
	courier, err := rig.Start(exe, rig.Config{
		Dir: dir, Discovery: partners.Directory.Addr(), Settings: rig.LargeSettings(c.Slots, c.Held, 1e6), MemoryMB: 192, Sockets: 1024, Push: partners.Push,
		KnownInstances: partners.Listed,
	})
	if err != nil {
		partners.Close()
		os.RemoveAll(dir)
		return nil, nil, err
	}
	o.RespAddr, o.PushAddr = courier.Addr, courier.Push
	client := load.New(courier.Addr, courier.Push)
	var mu sync.Mutex
	o.OnVerdict = func(m load.Message, v load.Verdict) {
		mu.Lock()
		defer mu.Unlock()
		client.Sent = append(client.Sent, m)
		client.Verdicts[m.ID] = v
	}
	return func() load.Results { return partners.Settle(client, c.Deadline+5*time.Second) }, func() {
		client.Close()
		courier.Kill()
		partners.Close()
		os.RemoveAll(dir)
	}, nil
}

// maxDestinationRange is the maximum length of a range in a list of destinations.
const maxDestinationRange = 1_000_000

// parseDestinations reads a list of destinations such as 1-8,12 and returns it sorted, without
// duplicates.
func parseDestinations(list string) (out []uint32, err error) {
	for _, part := range strings.Split(list, ",") {
		first, last, isRange := strings.Cut(part, "-")
		if !isRange {
			last = first
		}
		a, err := strconv.ParseUint(first, 10, 32)
		b, err2 := strconv.ParseUint(last, 10, 32)
		if err != nil || err2 != nil || a > b || b-a >= maxDestinationRange {
			return nil, fmt.Errorf("%q is not a list of destinations such as 1-8,12", list)
		}
		for n := a; n <= b; n++ {
			out = append(out, uint32(n))
		}
	}
	slices.Sort(out)
	return slices.Compact(out), nil
}
