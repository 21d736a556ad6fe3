package config

import (
	"fmt"
	"math"
	"time"

	"github.com/valyala/fastjson"

	"snowjunction"
)

// Millis turns fractional milliseconds into a duration. The platform counts
// microseconds, so that is where it rounds; what is no usable number becomes 0.
func Millis(ms float64) time.Duration {
	if math.IsNaN(ms) || math.Abs(ms) > 1e14 {
		return 0
	}
	return time.Duration(math.Round(ms*1000)) * time.Microsecond
}

// ParseSettings decodes the settings object that an instance is given at its
// start. What is not used here is skipped.
func ParseSettings(seed uint64, text []byte) (snowjunction.Settings, error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return snowjunction.Settings{}, fmt.Errorf("settings: %w", err)
	}
	if v.Type() != fastjson.TypeObject {
		return snowjunction.Settings{}, fmt.Errorf("settings: an object is wanted, not %s", v.Type())
	}
	return settings(seed, v), nil
}

func settings(seed uint64, v *fastjson.Value) snowjunction.Settings {
	family, limits, contract := v.Get("family-info"), v.Get("limits"), v.Get("contract")
	weights := text(v, "weights")
	out := snowjunction.Settings{
		Seed: seed, Fleet: v.GetInt("fleet-size"), Number: v.GetInt("my-number"), Tick: millis(v, "quantum-ms"),
		Zone: v.GetInt("zone"), Zones: len(v.GetArray("dcs")),
		Slots: family.GetInt("max-calls"), Halving: text(family, "late") == "halving",
		MaxHeld: limits.GetInt("most-held"), MaxAttempts: limits.GetInt("max-attempts"),
		OverShareWorth:   v.GetFloat64("over-share-worth"),
		WeightsAreLimits: weights == "nominal" || weights == "rough",
		AskForList:       text(v, "registry-mode") == "ask",
		Probes:           limits.GetBool("probes"), Cancelling: limits.GetBool("cancelling"),
		ParallelTry: limits.GetBool("parallel-tries"), RetryAfter: limits.GetBool("retry-after"),
		MaxRetry: millis(limits, "max-retry-after-ms"), ConnIdle: millis(limits, "conn-idle-ms"),
		ConnectTimeout: millis(limits, "connect-timeout-ms"), StreamsPerConn: limits.GetInt("streams-per-conn"),
		AskWithin: millis(contract, "ask-within-ms"), OrderSettle: millis(contract, "order-settle-ms"),
		DrainGrace: millis(contract, "stop-sending-within-ms"), AnswerSlack: millis(contract, "answer-slack-ms"),
		ColdShare: contract.GetFloat64("cold-share"), WarmUp: millis(contract, "warm-up-ms"),
		FallMultiple: contract.GetFloat64("fall-multiple"), FallTime: millis(contract, "fall-ms"),
	}
	for _, c := range v.GetArray("classes") {
		out.Classes = append(out.Classes, class(c))
	}
	for _, t := range v.GetArray("tenants") {
		out.Tenants = append(out.Tenants, snowjunction.Tenant{Name: text(t, "name"), Quota: t.GetFloat64("quota-rps")})
	}
	bundles, apart := family.GetArray("bundle-max"), family.GetArray("routes-apart")
	for i := range max(len(v.GetArray("models")), len(bundles), len(apart)) {
		k := snowjunction.Kind{BundleMax: 1}
		if i < len(bundles) {
			k.BundleMax = max(1, bundles[i].GetInt())
		}
		if i < len(apart) {
			k.RoutesApart = apart[i].GetBool()
		}
		out.Kinds = append(out.Kinds, k)
	}
	for _, col := range v.GetArray("report", "columns") {
		field := snowjunction.OtherField
		switch name, _ := col.StringBytes(); string(name) {
		case "x0":
			field = snowjunction.AllowanceLeft
		case "x1":
			field = snowjunction.LimitRate
		}
		out.Report = append(out.Report, field)
	}
	return out
}

// class takes an effect that it does not know for unsafe, a group for the
// narrowest: neither grants more than was meant.
func class(c *fastjson.Value) snowjunction.Class {
	out := snowjunction.Class{
		Name: text(c, "name"), Effect: snowjunction.Unsafe, Group: snowjunction.GroupEndpoint,
		Window: millis(c, "window-ms"), Aim: millis(c, "promise-ms"), AimStretch: c.GetFloat64("aim-stretch"),
		Deadline: millis(c, "deadline-ms"), Worth: c.GetFloat64("importance"),
		LateShare: c.GetFloat64("late-share"), InOrder: c.GetBool("in-order"),
	}
	switch text(c, "semantics") {
	case "pure":
		out.Effect = snowjunction.Safe
	case "token":
		out.Effect = snowjunction.Keyed
	}
	switch text(c, "key-scope") {
	case "all", "":
		out.Group = snowjunction.GroupAll
	case "zone":
		out.Group = snowjunction.GroupZone
	}
	return out
}

func text(v *fastjson.Value, keys ...string) string { return string(v.GetStringBytes(keys...)) }

func millis(v *fastjson.Value, keys ...string) time.Duration { return Millis(v.GetFloat64(keys...)) }
