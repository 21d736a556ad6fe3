package wire

import (
	"encoding/json"
	"fmt"

	"snowjunction"
)

// settings mirrors the keys of the start message that are used; others are
// skipped.
type settings struct {
	Fleet   int     `json:"fleet-size"`
	Quantum float64 `json:"quantum-ms"`
	Zone    int     `json:"zone"`
	Zones   []any   `json:"dcs"`
	Classes []struct {
		Name     string  `json:"name"`
		Effect   string  `json:"semantics"`
		Group    string  `json:"key-scope"`
		Window   float64 `json:"window-ms"`
		Aim      float64 `json:"promise-ms"`
		Stretch  float64 `json:"aim-stretch"`
		Deadline float64 `json:"deadline-ms"`
		Worth    float64 `json:"importance"`
		Late     float64 `json:"late-share"`
		InOrder  bool    `json:"in-order"`
	} `json:"classes"`
	Tenants []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quota-rps"`
	} `json:"tenants"`
	Models []any  `json:"models"`
	Mode   string `json:"registry-mode"`
	Family struct {
		Apart  []bool `json:"routes-apart"`
		Bundle []int  `json:"bundle-max"`
		Late   string `json:"late"`
		Slots  int    `json:"max-calls"`
	} `json:"family-info"`
	Limits struct {
		Cancelling bool    `json:"cancelling"`
		ConnIdle   float64 `json:"conn-idle-ms"`
		Connect    float64 `json:"connect-timeout-ms"`
		Attempts   int     `json:"max-attempts"`
		Held       int     `json:"most-held"`
		MaxRetry   float64 `json:"max-retry-after-ms"`
		Probes     bool    `json:"probes"`
		RetryAfter bool    `json:"retry-after"`
		Parallel   bool    `json:"parallel-tries"`
		Streams    int     `json:"streams-per-conn"`
	} `json:"limits"`
	OverShare float64 `json:"over-share-worth"`
	Report    struct {
		Columns []string `json:"columns"`
	} `json:"report"`
	Contract struct {
		Slack        float64 `json:"answer-slack-ms"`
		AskWithin    float64 `json:"ask-within-ms"`
		ColdShare    float64 `json:"cold-share"`
		WarmUp       float64 `json:"warm-up-ms"`
		Drain        float64 `json:"stop-sending-within-ms"`
		FallMultiple float64 `json:"fall-multiple"`
		Fall         float64 `json:"fall-ms"`
		Settle       float64 `json:"order-settle-ms"`
	} `json:"contract"`
	Weights string `json:"weights"`
}

// ParseSettings turns the start message's text into Settings.
func ParseSettings(seed uint64, text []byte) (snowjunction.Settings, error) {
	var in settings
	if err := json.Unmarshal(text, &in); err != nil {
		return snowjunction.Settings{}, fmt.Errorf("settings: %w", err)
	}
	out := snowjunction.Settings{
		Seed: seed, Fleet: in.Fleet, Tick: Millis(in.Quantum), Zone: in.Zone, Zones: len(in.Zones),
		Slots: in.Family.Slots, MaxHeld: in.Limits.Held, MaxAttempts: in.Limits.Attempts,
		OverShareWorth: in.OverShare, Halving: in.Family.Late == "halving",
		WeightsAreLimits: in.Weights == "nominal" || in.Weights == "rough",
		AskForList:       in.Mode == "ask", Probes: in.Limits.Probes, Cancelling: in.Limits.Cancelling,
		ParallelTry: in.Limits.Parallel, RetryAfter: in.Limits.RetryAfter,
		MaxRetry: Millis(in.Limits.MaxRetry), ConnIdle: Millis(in.Limits.ConnIdle),
		ConnectTimeout: Millis(in.Limits.Connect), StreamsPerConn: in.Limits.Streams,
		AskWithin: Millis(in.Contract.AskWithin), OrderSettle: Millis(in.Contract.Settle),
		DrainGrace: Millis(in.Contract.Drain), AnswerSlack: Millis(in.Contract.Slack),
		ColdShare: in.Contract.ColdShare, WarmUp: Millis(in.Contract.WarmUp),
		FallMultiple: in.Contract.FallMultiple, FallTime: Millis(in.Contract.Fall),
	}
	effects := map[string]snowjunction.Effect{"pure": snowjunction.Safe, "token": snowjunction.Keyed}
	groups := map[string]snowjunction.Group{
		"all": snowjunction.GroupAll, "": snowjunction.GroupAll, "zone": snowjunction.GroupZone,
	}
	for _, c := range in.Classes {
		effect, ok := effects[c.Effect]
		if !ok {
			effect = snowjunction.Unsafe
		}
		group, ok := groups[c.Group]
		if !ok {
			group = snowjunction.GroupEndpoint
		}
		out.Classes = append(out.Classes, snowjunction.Class{
			Name: c.Name, Effect: effect, Group: group, Window: Millis(c.Window), Aim: Millis(c.Aim),
			AimStretch: c.Stretch, Deadline: Millis(c.Deadline), Worth: c.Worth, LateShare: c.Late,
			InOrder: c.InOrder,
		})
	}
	for _, t := range in.Tenants {
		out.Tenants = append(out.Tenants, snowjunction.Tenant{Name: t.Name, Quota: t.Quota})
	}
	for i := range max(len(in.Models), len(in.Family.Bundle), len(in.Family.Apart)) {
		k := snowjunction.Kind{BundleMax: 1}
		if i < len(in.Family.Bundle) {
			k.BundleMax = max(1, in.Family.Bundle[i])
		}
		if i < len(in.Family.Apart) {
			k.RoutesApart = in.Family.Apart[i]
		}
		out.Kinds = append(out.Kinds, k)
	}
	for _, col := range in.Report.Columns {
		field := snowjunction.OtherField
		switch col {
		case "x0":
			field = snowjunction.AllowanceLeft
		case "x1":
			field = snowjunction.LimitRate
		}
		out.Report = append(out.Report, field)
	}
	return out, nil
}
