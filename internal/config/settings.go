// Package config reads the configuration of a dispatcher: its place in the deployment, and its settings, which have the
// same format on the bench and in production.
package config

import (
	"errors"
	"fmt"
	"slices"

	jsoniter "github.com/json-iterator/go"

	"topazfall"
)

// SettingsObject mirrors the settings as a JSON object. Keys without a field are ignored.
type SettingsObject struct {
	Me         int      `json:"me"`
	Replicas   int      `json:"replicas_of_me"`
	MyZone     string   `json:"my_zone"`
	Areas      []string `json:"areas"`
	Skus       []string `json:"skus"`
	Discovery  string   `json:"discovery"`
	OverShare  *float64 `json:"over_share_worth"` // worth of jobs beyond a share, 0 to 1; 1 if absent
	WeightKind string   `json:"weight_kind"`
	TickMicros int64    `json:"tick_us"`
	Classes    []struct {
		Name      string   `json:"name"`
		Deadline  int64    `json:"deadline_us"`
		Aim       int64    `json:"aim_us"`
		Stretch   *float64 `json:"aim_stretch"`
		Points    float64  `json:"points"`
		LateWorth float64  `json:"late_worth"`
		Repeat    string   `json:"repeat"`
		Group     string   `json:"group"`
		Window    int64    `json:"window_us"`
	} `json:"classes"`
	Realms []struct {
		Name  string  `json:"name"`
		Share float64 `json:"share"`
		Quota float64 `json:"quota_per_s"`
	} `json:"realms"`
	Contract struct {
		AnswerSlack  int64   `json:"answer_slack_us"`
		AskEvery     int64   `json:"ask_every_us"`
		ColdFrom     float64 `json:"cold_from"`
		DrainGrace   int64   `json:"drain_grace_us"`
		FallMultiple float64 `json:"fall_multiple"`
		FallTime     int64   `json:"fall_us"`
		RampTime     int64   `json:"ramp_time_us"`
	} `json:"contract"`
	Deductions struct {
		CrossZone float64 `json:"cross_zone"`
	} `json:"deductions"`
	Allowed struct {
		Cancel        bool  `json:"cancel"`
		ConnIdle      int64 `json:"conn_idle_us"`
		DialTimeout   int64 `json:"dial_timeout_us"`
		MaxRetryAfter int64 `json:"max_retry_after_us"`
		MayProbe      bool  `json:"may_probe"`
		ParallelTries bool  `json:"parallel_tries"`
		PeerMessages  bool  `json:"peer_messages"`
		RetryAfter    bool  `json:"retry_after"`
		SendCap       int   `json:"send_cap"`
	} `json:"allowed"`
	Domain struct {
		ClassKind     []int     `json:"class_kind"`
		ClassPriority []int     `json:"class_priority"`
		ClassStretch  []float64 `json:"class_stretch"`
		Progress      int64     `json:"progress_us"`
		TellsStart    bool      `json:"tells_start"`
	} `json:"domain"`
	Stats struct {
		Source string   `json:"source"`
		Fields []string `json:"fields"`
	} `json:"stats"`
}

var (
	repeatRules = map[string]topazfall.RepeatRule{
		"retryable": topazfall.Safe, "dedup": topazfall.Keyed, "fragile": topazfall.Unsafe}
	groups = map[string]topazfall.Group{
		"": topazfall.GroupAll, "all": topazfall.GroupAll, "zone": topazfall.GroupZone, "cell": topazfall.GroupCell}
	reportSources = map[string]topazfall.ReportSource{
		"": topazfall.ReportsNever, "none": topazfall.ReportsNever,
		"answers": topazfall.ReportsInAnswers, "probe": topazfall.ReportsInProbes}
	// loadFields are the names of the values of a load report, in the wire protocol and in the simulator.
	loadFields = []string{"busy_reqs", "pending", "cpu_share", "svc_ms", "served_ps", "failed_ps", "x0", "x1",
		"inflight", "queue", "util", "latency_ms", "qps", "eps"}
	weightKinds    = []string{"", "none", "nominal", "rough", "live"}
	discoveryModes = []string{"", "automatic", "subscribe"}
)

// checkOneOf returns an error that names the setting at path if its value is not an allowed one.
func checkOneOf(allowed []string, path, value string) error {
	if !slices.Contains(allowed, value) {
		return fmt.Errorf("settings: %s is %q", path, value)
	}
	return nil
}

// ParseSettings parses a settings object, which comes from a configuration file or from an ENLIST line, by which the
// bench starts an instance of the decision module. seed seeds the random numbers of the instance.
func ParseSettings(seed uint64, text []byte) (topazfall.Settings, error) {
	var p SettingsObject
	if err := jsoniter.Unmarshal(text, &p); err != nil {
		return topazfall.Settings{}, fmt.Errorf("unreadable settings: %v", err)
	}
	return p.ToSettings(seed)
}

// ToSettings converts the object to the settings of the decision module.
func (p *SettingsObject) ToSettings(seed uint64) (topazfall.Settings, error) {
	var s topazfall.Settings
	source, ok := reportSources[p.Stats.Source]
	if !ok {
		return s, fmt.Errorf("settings: stats.source is %q", p.Stats.Source)
	}
	err := errors.Join(checkOneOf(weightKinds, "weight_kind", p.WeightKind),
		checkOneOf(discoveryModes, "discovery", p.Discovery))
	for i, f := range p.Stats.Fields {
		err = errors.Join(err, checkOneOf(loadFields, fmt.Sprintf("stats.fields[%d]", i), f))
	}
	if err != nil {
		return s, err
	}
	s = topazfall.Settings{
		Seed: seed, Me: p.Me, Dispatchers: p.Replicas, Zone: p.MyZone, Zones: p.Areas, Kinds: p.Skus,
		Tick: p.TickMicros, LoadReports: source, ReportsStart: p.Domain.TellsStart,
		Progress: p.Domain.Progress, ListOnRequest: p.Discovery == "subscribe", OverShare: 1,
		CrossZone:   p.Deductions.CrossZone,
		LiveWeights: p.WeightKind == "live",
		Contract: topazfall.Contract{
			AnswerSlack: p.Contract.AnswerSlack, DrainGrace: p.Contract.DrainGrace, AskEvery: p.Contract.AskEvery,
			ColdFrom: p.Contract.ColdFrom, RampTime: p.Contract.RampTime,
			FallMultiple: p.Contract.FallMultiple, FallTime: p.Contract.FallTime},
		Allowed: topazfall.Allowed{
			Cancel: p.Allowed.Cancel, Probe: p.Allowed.MayProbe, PeerMessages: p.Allowed.PeerMessages,
			HedgedRequests: p.Allowed.ParallelTries, RetryAfter: p.Allowed.RetryAfter,
			MaxRetryAfter: p.Allowed.MaxRetryAfter, Attempts: p.Allowed.SendCap, DialTimeout: p.Allowed.DialTimeout},
	}
	if p.OverShare != nil {
		s.OverShare = *p.OverShare
	}
	for i, c := range p.Classes {
		repeat, ok := repeatRules[c.Repeat]
		if !ok {
			return s, fmt.Errorf("settings: classes[%d].repeat is %q", i, c.Repeat)
		}
		group, ok := groups[c.Group]
		if !ok {
			return s, fmt.Errorf("settings: classes[%d].group is %q", i, c.Group)
		}
		k := topazfall.Class{Name: c.Name, Deadline: c.Deadline, Aim: c.Aim, Worth: c.Points,
			LateWorth: c.LateWorth, Repeat: repeat, Group: group, Window: c.Window}
		if i < len(p.Domain.ClassStretch) {
			k.Stretch = p.Domain.ClassStretch[i]
		}
		if c.Stretch != nil {
			k.Stretch = *c.Stretch
		}
		if i < len(p.Domain.ClassPriority) {
			k.Priority = p.Domain.ClassPriority[i]
		}
		if i < len(p.Domain.ClassKind) && p.Domain.ClassKind[i] >= 0 {
			if p.Domain.ClassKind[i] >= len(p.Skus) {
				return s, fmt.Errorf("settings: domain.class_kind[%d] names no kind", i)
			}
			k.Kind = p.Skus[p.Domain.ClassKind[i]]
		}
		s.Classes = append(s.Classes, k)
	}
	for _, r := range p.Realms {
		s.Tenants = append(s.Tenants, topazfall.Tenant{Name: r.Name, Share: r.Share, Quota: r.Quota})
	}
	return s, nil
}

// SetLoad sets one value of a load report by its name in the wire protocol or in the simulator. Names that no decision
// needs are ignored.
func SetLoad(l *topazfall.Load, name string, v float64) {
	switch name {
	case "pending", "queue":
		l.Queue = v
	case "busy_reqs", "inflight":
		l.Inflight = v
	case "x0":
		l.Free = v
	case "cpu_share", "util":
		l.Util = v
	}
}
