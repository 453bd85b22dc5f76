package main

import (
	"encoding/json"

	"github.com/auburndyke/auburndyke/platform/standin"
)

const (
	host   = "ficu95.example"
	apiKey = "n2ctnfzs989anu6wsjnb"

	bookingService = "wuno96b"
	modelService   = "huvo11a"

	bookingPrefix = "/puxa403/"
	streamPrefix  = "/lohu930/"
)

// fields is a JSON object.
type fields map[string]any

// engine describes the replicas of the model service.
var engine = fields{
	"slots": 64, "kv_tokens": 430979, "kv_bytes": 35136, "link_mbps": 130000.0, "moves": true, "backups": true,
	"stride": 3, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []fields{{"name": "m"}},
}

// putConfig writes a configuration with a route for bookings and one for streams.
func (r *run) putConfig(version int) error {
	data, err := json.Marshal(fields{
		"version": version,
		"routes": []fields{
			{
				"name": "r-2yhvz3p", "host": host, "prefix": streamPrefix, "type": "stream", "timeout_ms": 15000, "goal_ms": 2000, "priority": 1,
				"service": modelService, "attempts": 2, "public": false, "sticky": true, "resumable": true, "gap_aim_ms": 250,
			},
			{
				"name": "r-fi6y7z5", "host": host, "prefix": bookingPrefix, "type": "non_idempotent", "timeout_ms": 2500, "goal_ms": 150, "priority": 2,
				"service": bookingService, "attempts": 1, "public": false, "sticky": false, "resumable": false,
			},
		},
		"services": []fields{
			{"name": modelService, "health_path": "/healthz", "max_conns": 370, "protocol": "h1", "tls": false, "engine": engine},
			{"name": bookingService, "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false},
		},
		"limits":  fields{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []fields{{"name": "hule930", "api_keys": []string{apiKey}, "priority": 1}},
	})
	if err != nil {
		return err
	}
	r.store.Put("op", "config", data)
	return nil
}

// register writes the entry of a replica. The store's answer is its ack.
func (r *run) register(s *standin.Replica, service, state string) {
	r.store.Put("servers", s.ID, s.Registration(service, zone, state))
	r.notef("the store has acknowledged that replica %s of %s at %s is %s", s.ID, service, s.Address(), state)
}

// addReplicas starts registered replicas of a service.
func (r *run) addReplicas(service string, n int, b standin.Behaviour) ([]*standin.Replica, error) {
	var out []*standin.Replica
	for i := range n {
		s, err := standin.StartReplica("i-" + service + string(rune('a'+i)))
		if err != nil {
			return nil, err
		}
		s.Set(b)
		r.register(s, service, "ready")
		out = append(out, s)
	}
	return out, nil
}
