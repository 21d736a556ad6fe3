package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"
	"time"

	"snowjunction/internal/standin/partner"
)

// Population generates the partners of a farm at random.
type Population struct {
	Partners  int     `default:"20" help:"Number of partners."`
	Endpoints int     `default:"2" help:"Endpoints per partner; each is a listening socket."`
	First     uint32  `default:"1" help:"Destination number of the first partner."`
	HTTP2     float64 `default:"0" name:"http2" help:"Share of the partners that use HTTP/2, from 0 to 1."`
	Seed      uint64  `default:"1" help:"Seed for the random limits, capacities and latencies."`
	Directory bool    `default:"true" negatable:"" help:"Serve a directory that lists the endpoints."`
}

// Specs generates the partners: limits of 2 to 5 calls per second, as a token bucket or over fixed
// windows of 1 or 2 s, latencies of 60 to 340 ms, and a capacity of three times the limit.
func (p Population) Specs() []Spec {
	var specs []Spec
	for i := range p.Partners {
		rng := rand.New(rand.NewPCG(p.Seed, uint64(p.First)+uint64(i)))
		profile := partner.Profile{
			Limit: 2 + 3*rng.Float64(), CountsRejected: rng.Float64() < 0.5, RetryAfterShare: 0.5 + 0.4*rng.Float64(), ReportsLimit: true,
			MaxReportAge: time.Duration(120+530*rng.Float64()) * time.Millisecond,
			Latency:      time.Duration(60+280*rng.Float64()) * time.Millisecond,
			Queue:        32, ColdShare: 0.2, WarmUp: 14 * time.Second, CollapseMultiple: 2, CollapseWindow: 1500 * time.Millisecond,
		}
		profile.Window = []time.Duration{0, time.Second, 2 * time.Second}[rng.IntN(3)]
		profile.Capacity = 3 * profile.Limit
		specs = append(specs, Spec{
			Destination: p.First + uint32(i), Endpoints: p.Endpoints, HTTP2: rng.Float64() < p.HTTP2, Profile: profile,
			Seed: rng.Uint64(),
		})
	}
	return specs
}

// Command is a command to a farm, a line of JSON. It applies to the destinations from From to To,
// both included; To 0 means only From.
type Command struct {
	Do       string  `json:"do"` // list, stats, seen, limit, chill, reset or fault
	From, To uint32  `json:",omitempty"`
	Factor   float64 `json:",omitempty"` // limit: factor on the present limit

	Fault partner.Kind  `json:",omitempty"` // fault: starts now
	For   time.Duration `json:",omitempty"`
	Share float64       `json:",omitempty"`
	Times float64       `json:",omitempty"`
	Cold  bool          `json:",omitempty"`

	IDs []MessageRef `json:",omitempty"` // seen
}

// MessageRef identifies a message by its destination and ID.
type MessageRef struct {
	Destination uint32
	ID          string
}

// Reply is the response to a Command, a line of JSON.
type Reply struct {
	Error     string                    `json:",omitempty"`
	Directory string                    `json:",omitempty"`
	Endpoints []Endpoint                `json:",omitempty"`
	Limits    map[uint32]float64        `json:",omitempty"` // stats
	Counts    map[uint32]partner.Counts `json:",omitempty"` // stats: of the partners that were called
	Seen      []bool                    `json:",omitempty"`
}

// Execute executes an order.
func (f *Farm) Execute(o Command) (r Reply) {
	each := func(do func(d uint32, p *partner.Partner)) {
		for d := o.From; d <= max(o.From, o.To); d++ {
			if err := f.With(d, func(p *partner.Partner) { do(d, p) }); err != nil {
				r.Error = err.Error()
				return
			}
		}
	}
	now := f.Now()
	switch o.Do {
	case "list":
		r.Endpoints = f.Endpoints()
	case "stats":
		r.Counts, r.Limits = map[uint32]partner.Counts{}, map[uint32]float64{}
		f.Each(func(d uint32, p *partner.Partner) {
			r.Limits[d] = p.Profile.Limit
			if p.Counts.Calls > 0 {
				r.Counts[d] = p.Counts
			}
		})
	case "seen":
		for _, x := range o.IDs {
			seen := false
			_ = f.With(x.Destination, func(p *partner.Partner) { seen = p.WasDelivered(x.ID) })
			r.Seen = append(r.Seen, seen)
		}
	case "limit":
		each(func(_ uint32, p *partner.Partner) { p.Profile.Limit *= o.Factor })
	case "chill":
		each(func(_ uint32, p *partner.Partner) { p.MakeCold(now) })
	case "reset":
		each(func(_ uint32, p *partner.Partner) { p.Counts = partner.Counts{} })
	case "fault":
		each(func(_ uint32, p *partner.Partner) {
			p.Add(partner.Fault{
				Kind: o.Fault, From: now, Until: now + o.For, Share: o.Share, Factor: o.Times, Cold: o.Cold,
			})
		})
	default:
		r.Error = fmt.Sprintf("unknown order %q", o.Do)
	}
	return r
}

// Serve opens a farm and, if configured, a directory. It writes the directory's address to out and
// then executes the orders read from in, one per line, until the input ends or SIGTERM or SIGINT
// arrives.
func Serve(p Population, in io.Reader, out io.Writer) error {
	farm, err := NewFarm(p.Specs())
	if err != nil {
		return err
	}
	defer farm.Close()
	encoder := json.NewEncoder(out)
	greeting := Reply{}
	if p.Directory {
		d, err := NewDirectory(List(farm.Endpoints()))
		if err != nil {
			return err
		}
		defer d.Close()
		greeting.Directory = d.Addr()
	}
	if err := encoder.Encode(greeting); err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	orders := make(chan []byte)
	go func() {
		defer close(orders)
		lines := bufio.NewScanner(in)
		lines.Buffer(nil, 16<<20)
		for lines.Scan() {
			orders <- append([]byte(nil), lines.Bytes()...)
		}
	}()
	for {
		select {
		case <-signals:
			return nil
		case line, ok := <-orders:
			if !ok {
				return nil
			}
			var o Command
			r := Reply{}
			if err := json.Unmarshal(line, &o); err != nil {
				r.Error = err.Error()
			} else {
				r = farm.Execute(o)
			}
			if err := encoder.Encode(r); err != nil {
				return err
			}
		}
	}
}
