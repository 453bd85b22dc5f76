package main

import "time"

// Routes of the deployment fryline-swap, by their path prefixes.
const (
	noticePath  = "/notice/"  // swap-notice-draft: stream that may be resumed
	comparePath = "/compare/" // batch-compare: stream that runs once at most
	bookPath    = "/book/"    // book-swap: runs once at most
	statusPath  = "/status/"  // swap-status: idempotent
)

// Services of the deployment.
const (
	engineService = "oil-assistant"
	deskService   = "swap-desk"
)

// configText is the operator's configuration, with the figures of the deployment's sheet.
const configText = `{"version":7,"routes":[
{"name":"notice","host":"ficu95.example","prefix":"/notice/","type":"stream","timeout_ms":15000,"goal_ms":2000,"priority":0,"service":"oil-assistant","attempts":2,"public":false,"sticky":true,"resumable":true,"gap_aim_ms":250},
{"name":"compare","host":"ficu95.example","prefix":"/compare/","type":"stream","timeout_ms":8000,"goal_ms":2000,"priority":1,"service":"oil-assistant","attempts":1,"public":false,"sticky":true,"resumable":false,"gap_aim_ms":400},
{"name":"book","host":"ficu95.example","prefix":"/book/","type":"non_idempotent","timeout_ms":1200,"goal_ms":150,"priority":2,"service":"swap-desk","attempts":1,"public":false},
{"name":"status","host":"ficu95.example","prefix":"/status/","type":"idempotent","timeout_ms":1200,"goal_ms":150,"priority":2,"service":"swap-desk","attempts":2,"public":false}],
"services":[
{"name":"oil-assistant","health_path":"/healthz","max_conns":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_tokens":430979,"kv_bytes":35136,"link_mbps":180000.0,"moves":true,"backups":true,"stride":3,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}},
{"name":"swap-desk","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"]}]}`

// Bounds of the settings, and the time limit and route timeout of swap-notice-draft.
const (
	graceTime   = 8 * time.Second
	configTime  = 2500 * time.Millisecond
	noticeLimit = 15 * time.Second
)

// Slots of the replicas of each service.
const (
	engineSlots = 64
	deskSlots   = 6
)

// putConfig writes the operator's configuration into the store.
func (s *stage) putConfig() { s.store.Put("op", "config", []byte(configText)) }
