package rig

import (
	"time"

	"snowjunction/internal/standin"
	"snowjunction/internal/standin/load"
	"snowjunction/internal/standin/partner"
)

// Kitchen is what a courier serves: partners, those that speak HTTP/2 behind the
// push front, the others listed by a directory.
type Kitchen struct {
	Farm      *standin.Farm
	Directory *standin.Directory
	Listed    []standin.Instance
	Push      map[string]any // the push front's file
}

// NewKitchen opens it; the push front's documents go into dir.
func NewKitchen(dir string, specs []standin.Spec) (*Kitchen, error) {
	farm, err := standin.NewFarm(specs)
	if err != nil {
		return nil, err
	}
	k := &Kitchen{Farm: farm}
	var pushed []standin.Endpoint
	for _, e := range farm.Endpoints() {
		if e.HTTP2 {
			pushed = append(pushed, e)
		} else {
			k.Listed = append(k.Listed, standin.List([]standin.Endpoint{e})...)
		}
	}
	if k.Push, err = PushFile(dir, standin.List(pushed)); err == nil {
		k.Directory, err = standin.NewDirectory(k.Listed)
	}
	if err != nil {
		farm.Close()
		return nil, err
	}
	return k, nil
}

// Drain has the directory tell that an endpoint drains; the farm minds what it
// gets after that.
func (k *Kitchen) Drain(name string) {
	for _, x := range k.Listed {
		if x.InstanceID == name {
			x.Lifecycle = "Terminating"
			k.Farm.Drains(x.HostPort)
			k.Directory.Change(x)
		}
	}
}

// Delivered tells whether a message has been delivered.
func (k *Kitchen) Delivered(destination uint32, id string) (seen bool) {
	_ = k.Farm.With(destination, func(p *partner.Partner) { seen = p.Seen(id) })
	return seen
}

// Counts sums up what all partners have seen.
func (k *Kitchen) Counts() (n partner.Counts) {
	k.Farm.Each(func(_ uint32, p *partner.Partner) { n.Add(p.Counts) })
	return n
}

// Settle waits until every message that a client has handed in and that was taken
// on has its end, or for so long, and returns the account.
func (k *Kitchen) Settle(client *load.Client, within time.Duration) load.Ends {
	for limit := time.Now().Add(within); ; time.Sleep(200 * time.Millisecond) {
		e := client.Account(k.Delivered, k.Directory.Notices(), nil)
		if e.Open == 0 || time.Now().After(limit) {
			return e
		}
	}
}

// Close ends it.
func (k *Kitchen) Close() {
	k.Directory.Close()
	k.Farm.Close()
}
