package config

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/valyala/fastjson"

	"snowjunction/internal/core"
)

// Push is the file of the push front.
type Push struct {
	Listen   string // "": the front is off
	MaxConns int    // clients' connections
	// TargetConns bounds the connections to one target that take new streams; ConnAge,
	// where positive, retires a connection once it is so old and empty.
	TargetConns int
	ConnAge     time.Duration
	Retain      time.Duration
	OpenAPI     string // paths of the descriptions
	AsyncAPI    string
	Targets     []core.Entry
}

// The values taken where none is given.
const (
	defaultPushConns   = 64
	defaultTargetConns = 4
	defaultRetain      = 300 // seconds
)

// LoadPush reads the push front's file. Paths in it start from its folder. A
// file that is not there leaves the front off.
func LoadPush(path string, names Names) (*Push, error) {
	v, err := operatorFile(path, "push")
	if err != nil {
		return nil, err
	}
	p, err := push(path, v, names)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return p, nil
}

func push(path string, v *fastjson.Value, names Names) (*Push, error) {
	p := &Push{
		Listen: text(v, "listen"), MaxConns: positive(v.GetInt("max_connections"), defaultPushConns),
		TargetConns: positive(v.GetInt("target_connections"), defaultTargetConns),
		ConnAge:     time.Duration(v.GetFloat64("connection_age_s") * float64(time.Second)),
		Retain:      time.Duration(positive(v.GetInt("retain_s"), defaultRetain)) * time.Second,
		OpenAPI:     beside(path, v, "openapi"), AsyncAPI: beside(path, v, "asyncapi"),
	}
	if p.Listen != "" {
		if _, err := netip.ParseAddrPort(p.Listen); err != nil {
			return nil, fmt.Errorf("listen: %q is not an address with a port", p.Listen)
		}
		if p.OpenAPI == "" || p.AsyncAPI == "" {
			return nil, errors.New("openapi and asyncapi: the front needs its descriptions")
		}
	}
	for i, t := range v.GetArray("targets") {
		e, err := names.Target(t)
		if err != nil {
			return nil, fmt.Errorf("targets[%d]: %w", i, err)
		}
		p.Targets = append(p.Targets, e)
	}
	return p, nil
}
