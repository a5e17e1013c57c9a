package stand

// runCommand is the command of the deploy file that runs one dispatcher.
const runCommand = "exec bin/topazfall"

// SmallSite changes a configuration to the settings of a small cairo-east: its classes, limits and grace.
func SmallSite(config map[string]any) {
	config["settings"] = map[string]any{
		"me": 0, "replicas_of_me": 1, "discovery": "automatic", "my_zone": "hall-a", "areas": []string{"hall-a"},
		"skus": []string{"small"}, "tick_us": 4000, "over_share_worth": 0.05, "weight_kind": "nominal",
		"classes": []any{
			Class("lookup", "retryable", 250_000, 5_000_000, 1),
			Class("dispute-extract", "fragile", 800_000, 25_000_000, 10),
			Class("usage-report", "fragile", 1_000_000, 20_000_000, 2)},
		"realms": []any{map[string]any{"name": "delta-mobile", "share": 0.61, "quota_per_s": 15},
			map[string]any{"name": "sinai-tel", "share": 0.39, "quota_per_s": 9}},
		"contract": map[string]any{"answer_slack_us": 16000, "cold_from": 0.32, "drain_grace_us": 500000,
			"fall_multiple": 2.5, "fall_us": 3000000, "ramp_time_us": 8900000},
		"allowed": map[string]any{"cancel": true, "conn_idle_us": 60000000, "dial_timeout_us": 250000,
			"max_retry_after_us": 2000000, "may_probe": true, "parallel_tries": true, "peer_messages": false,
			"retry_after": true, "send_cap": 6},
		"domain": map[string]any{"class_stretch": []int{2, 2, 2}, "tells_start": true, "progress_us": 2000000},
		"stats":  map[string]any{"fields": []string{"queue", "x0"}, "source": "answers"}}
}

// Class returns a class of the settings. Its times are in microseconds.
func Class(name, repeat string, aim, deadline, points int) map[string]any {
	return map[string]any{"name": name, "repeat": repeat, "aim_us": aim, "deadline_us": deadline, "points": points,
		"late_worth": 0, "window_us": 5_000_000, "group": "all", "streaming": false}
}
