package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// route is a route of the operator's configuration.
type route struct {
	Name      string `json:"name"`
	Host      string `json:"host"`
	Prefix    string `json:"prefix"`
	Type      string `json:"type"`
	TimeoutMS int    `json:"timeout_ms"`
	GoalMS    int    `json:"goal_ms"`
	GapAimMS  int    `json:"gap_aim_ms,omitempty"`
	Priority  int    `json:"priority"`
	Attempts  int    `json:"attempts"`
	Public    bool   `json:"public"`
	Sticky    bool   `json:"sticky"`
	Resumable bool   `json:"resumable"`
	Service   string `json:"service"`
}

// configure writes the operator's configuration: a service of model replicas, one of
// plain ones, and the routes.
func (w *world) configure(version int, routes ...route) {
	for i := range routes {
		routes[i].Host = host
	}
	data, err := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []any{
			map[string]any{
				"name": "huvo11a", "health_path": "/healthz", "max_conns": 620, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": 128, "kv_tokens": w.kvTokens, "kv_bytes": 35136, "link_mbps": 130000.0, "moves": true, "backups": true,
					"stride": 2, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}},
				},
			},
			map[string]any{"name": "wuno96b", "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": customer, "api_keys": []string{apiKey}, "priority": 1}},
	})
	if err != nil {
		panic(err) // plain values encode
	}
	w.store.Put("op", "config", data)
	w.record("operator: config version %d", version)
}

// seasonReview is the resumable stream of maraval-desk.
func seasonReview() route {
	return route{
		Name: "r-2yhvz3p", Prefix: "/lohu930/", Type: "stream", TimeoutMS: 15000, GoalMS: 2500, GapAimMS: 800,
		Priority: 2, Attempts: 2, Sticky: true, Resumable: true, Service: "huvo11a",
	}
}

// lessonPlan is the stream of maraval-desk that may not be resumed.
func lessonPlan() route {
	return route{
		Name: "r-fi6y7z5", Prefix: "/pufi791/", Type: "stream", TimeoutMS: 8000, GoalMS: 1500, GapAimMS: 300,
		Priority: 1, Attempts: 1, Sticky: true, Service: "huvo11a",
	}
}

// prompt are the headers of a request to a model.
func prompt(n int) map[string]string {
	return map[string]string{
		"X-Model": "m", "X-Token-Count": "1460,80",
		"X-Prompt-Prefix": "5c1e07a2:800,91bd3f06:410," + time.Unix(int64(n), 0).UTC().Format("150405") + "a:250",
	}
}

// otherPrompt are the headers of a request that shares no part of its prompt with others.
func otherPrompt(n int) map[string]string {
	header := prompt(n)
	header["X-Prompt-Prefix"] = fmt.Sprintf("%08x:800,91bd3f06:410,e4402b7d:250", 0x5c1e0000+n)
	return header
}
