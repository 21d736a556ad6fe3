package config

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/valyala/fastjson"

	"snowjunction/internal/core"
)

// Push is the operator file of the push front.
type Push struct {
	Listen   string // empty disables the front
	MaxConns int    // limit on client connections
	// TargetConns limits the connections to one target that accept new streams. ConnAge, if
	// positive, is the age at which a connection accepts no new streams and is closed once it has
	// none.
	TargetConns int
	ConnAge     time.Duration
	Retain      time.Duration // how long a final state can be queried
	OpenAPI     string        // paths of the OpenAPI and AsyncAPI documents
	AsyncAPI    string
	Targets     []core.Entry
}

// Defaults for values that the file does not set.
const (
	defaultPushConns   = 64
	defaultTargetConns = 4
	defaultRetain      = 300 // seconds
)

// LoadPush reads the push front's file. Relative paths in it are resolved against its folder. If
// the file does not exist, the front is disabled.
func LoadPush(path string, names Names) (*Push, error) {
	v, err := readOperatorFile(path, "push")
	if err != nil {
		return nil, err
	}
	p, err := decodePush(path, v, names)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return p, nil
}

func decodePush(path string, v *fastjson.Value, names Names) (*Push, error) {
	p := &Push{
		Listen: stringField(v, "listen"), MaxConns: positiveOr(v.GetInt("max_connections"), defaultPushConns),
		TargetConns: positiveOr(v.GetInt("target_connections"), defaultTargetConns),
		ConnAge:     time.Duration(v.GetFloat64("connection_age_s") * float64(time.Second)),
		Retain:      time.Duration(positiveOr(v.GetInt("retain_s"), defaultRetain)) * time.Second,
		OpenAPI:     resolvePath(path, v, "openapi"), AsyncAPI: resolvePath(path, v, "asyncapi"),
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
