package rig

import (
	"time"

	"snowjunction/internal/standin"
	"snowjunction/internal/standin/load"
	"snowjunction/internal/standin/partner"
)

// Environment simulates the environment of a courier: partners and a directory. Partners with HTTP/2
// are targets of the push front; the directory lists the others.
type Environment struct {
	Farm      *standin.Farm
	Directory *standin.Directory
	Listed    []standin.Instance
	Push      map[string]any // configuration file of the push front
}

// NewEnvironment starts the partners and the directory. It writes the push front's documents to dir.
func NewEnvironment(dir string, specs []standin.Spec) (*Environment, error) {
	farm, err := standin.NewFarm(specs)
	if err != nil {
		return nil, err
	}
	k := &Environment{Farm: farm}
	var pushed []standin.Endpoint
	for _, e := range farm.Endpoints() {
		if e.HTTP2 {
			pushed = append(pushed, e)
		} else {
			k.Listed = append(k.Listed, standin.List([]standin.Endpoint{e})...)
		}
	}
	if k.Push, err = PushConfig(dir, standin.List(pushed)); err == nil {
		k.Directory, err = standin.NewDirectory(k.Listed)
	}
	if err != nil {
		farm.Close()
		return nil, err
	}
	return k, nil
}

// Drain makes the directory announce that an endpoint is draining. The farm counts the calls that
// the endpoint receives after that.
func (k *Environment) Drain(name string) {
	for _, x := range k.Listed {
		if x.InstanceID == name {
			x.Lifecycle = "Terminating"
			k.Farm.MarkDraining(x.HostPort)
			k.Directory.Change(x)
		}
	}
}

// Delivered reports whether a message has been delivered.
func (k *Environment) Delivered(destination uint32, id string) (seen bool) {
	_ = k.Farm.With(destination, func(p *partner.Partner) { seen = p.WasDelivered(id) })
	return seen
}

// Counts returns the sum of the counters of all partners.
func (k *Environment) Counts() (n partner.Counts) {
	k.Farm.Each(func(_ uint32, p *partner.Partner) { n.Add(p.Counts) })
	return n
}

// Settle waits until every accepted message of a client has a final result, or for the time
// within, and returns the counts of results.
func (k *Environment) Settle(client *load.Client, within time.Duration) load.Results {
	for limit := time.Now().Add(within); ; time.Sleep(200 * time.Millisecond) {
		e := client.CountResults(k.Delivered, k.Directory.Notices(), nil)
		if e.Open == 0 || time.Now().After(limit) {
			return e
		}
	}
}

// Close stops the directory and the partners.
func (k *Environment) Close() {
	k.Directory.Close()
	k.Farm.Close()
}
