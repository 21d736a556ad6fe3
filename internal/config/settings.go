package config

import (
	"fmt"
	"math"
	"time"

	"github.com/valyala/fastjson"

	"snowjunction"
)

// Millis converts fractional milliseconds to a duration, rounded to microseconds, the platform's
// resolution. It returns 0 for NaN and for values outside ±1e14 ms.
func Millis(ms float64) time.Duration {
	if math.IsNaN(ms) || math.Abs(ms) > 1e14 {
		return 0
	}
	return time.Duration(math.Round(ms*1000)) * time.Microsecond
}

// ParseSettings decodes the settings object that a courier is given at its start. Unknown fields
// are ignored.
func ParseSettings(seed uint64, text []byte) (snowjunction.Settings, error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return snowjunction.Settings{}, fmt.Errorf("settings: %w", err)
	}
	if v.Type() != fastjson.TypeObject {
		return snowjunction.Settings{}, fmt.Errorf("settings: expected an object, not %s", v.Type())
	}
	return decodeSettings(seed, v), nil
}

func decodeSettings(seed uint64, v *fastjson.Value) snowjunction.Settings {
	family, limits, contract := v.Get("family-info"), v.Get("limits"), v.Get("contract")
	weights := stringField(v, "weights")
	out := snowjunction.Settings{
		Seed: seed, Fleet: v.GetInt("fleet-size"), Number: v.GetInt("my-number"), Tick: millisField(v, "quantum-ms"),
		Zone: v.GetInt("zone"), Zones: len(v.GetArray("dcs")),
		Slots: family.GetInt("max-calls"), ValueHalves: stringField(family, "late") == "halving",
		MaxHeld: limits.GetInt("most-held"), MaxAttempts: limits.GetInt("max-attempts"),
		OverQuotaValueShare: v.GetFloat64("over-share-worth"),
		WeightsAreLimits:    weights == "nominal" || weights == "rough",
		SubscribeToList:     stringField(v, "registry-mode") == "ask",
		Probes:              limits.GetBool("probes"), Cancelling: limits.GetBool("cancelling"),
		ParallelAttempts: limits.GetBool("parallel-tries"), RetryAfter: limits.GetBool("retry-after"),
		MaxRetryAfter: millisField(limits, "max-retry-after-ms"), ConnIdle: millisField(limits, "conn-idle-ms"),
		ConnectTimeout: millisField(limits, "connect-timeout-ms"), StreamsPerConn: limits.GetInt("streams-per-conn"),
		SubscribeWithin: millisField(contract, "ask-within-ms"), OrderSettle: millisField(contract, "order-settle-ms"),
		DrainGrace: millisField(contract, "stop-sending-within-ms"), AnswerSlack: millisField(contract, "answer-slack-ms"),
		ColdShare: contract.GetFloat64("cold-share"), WarmUp: millisField(contract, "warm-up-ms"),
		CollapseMultiple: contract.GetFloat64("fall-multiple"), CollapseTime: millisField(contract, "fall-ms"),
	}
	for _, c := range v.GetArray("classes") {
		out.Classes = append(out.Classes, decodeClass(c))
	}
	for _, t := range v.GetArray("tenants") {
		out.Tenants = append(out.Tenants, snowjunction.Tenant{Name: stringField(t, "name"), Quota: t.GetFloat64("quota-rps")})
	}
	bundles, apart := family.GetArray("bundle-max"), family.GetArray("routes-apart")
	for i := range max(len(v.GetArray("models")), len(bundles), len(apart)) {
		k := snowjunction.Kind{BundleMax: 1}
		if i < len(bundles) {
			k.BundleMax = max(1, bundles[i].GetInt())
		}
		if i < len(apart) {
			k.LimitPerEndpoint = apart[i].GetBool()
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

// decodeClass decodes a message class. An unknown effect counts as unsafe and an unknown key scope
// as the narrowest group, so that an unknown value never grants more than was intended.
func decodeClass(c *fastjson.Value) snowjunction.Class {
	out := snowjunction.Class{
		Name: stringField(c, "name"), Effect: snowjunction.Unsafe, Group: snowjunction.GroupEndpoint,
		Window: millisField(c, "window-ms"), TargetLatency: millisField(c, "promise-ms"), TargetPerWork: c.GetFloat64("aim-stretch"),
		Deadline: millisField(c, "deadline-ms"), Value: c.GetFloat64("importance"),
		LateValueShare: c.GetFloat64("late-share"), InOrder: c.GetBool("in-order"),
	}
	switch stringField(c, "semantics") {
	case "pure":
		out.Effect = snowjunction.Safe
	case "token":
		out.Effect = snowjunction.Keyed
	}
	switch stringField(c, "key-scope") {
	case "all", "":
		out.Group = snowjunction.GroupAll
	case "zone":
		out.Group = snowjunction.GroupZone
	}
	return out
}

func stringField(v *fastjson.Value, keys ...string) string { return string(v.GetStringBytes(keys...)) }

func millisField(v *fastjson.Value, keys ...string) time.Duration {
	return Millis(v.GetFloat64(keys...))
}
