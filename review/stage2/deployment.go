//go:build review

package stage2

import "time"

// HostName is the Host of all routes.
const HostName = "ficu95.example"

// Route returns a route of the manifest.
func Route(name, prefix, kind, service string, timeout, target time.Duration, priority, attempts int, resumable bool) map[string]any {
	r := map[string]any{
		"name": name, "host": HostName, "prefix": prefix, "kind": kind, "timeout_ms": timeout.Milliseconds(),
		"target_latency_ms": target.Milliseconds(), "priority": priority, "service": service, "max_attempts": attempts,
	}
	if kind == "streaming" {
		r["sticky_sessions"], r["resumable"], r["gap_aim_ms"] = true, resumable, 300
	}
	return r
}

// SmallManifest is the manifest of a small deployment, with the figures of its sheet.
func SmallManifest(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			Route("r-premium", "/lohu930/", "streaming", "redactor", 14*time.Second, 800*time.Millisecond, 0, 1, false),
			Route("r-estandar", "/pufi791/", "streaming", "redactor", 14*time.Second, 2*time.Second, 2, 2, true),
			Route("r-orden", "/pule252/", "non_idempotent", "pedidos", 800*time.Millisecond, 300*time.Millisecond, 2, 1, false),
			Route("r-estado", "/puxa403/", "idempotent", "pedidos", 800*time.Millisecond, 300*time.Millisecond, 2, 2, false),
		},
		"services": []any{
			map[string]any{"name": "redactor", "health_path": "/health", "max_conns": 156, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 12, "kv_tokens": 106421, "kv_token_bytes": 35136, "link_mbps": 5900000.0, "moves": true, "backups": true, "stride": 1, "most": 12,
				"kv_hold_s": 0.5, "reconfig_s": 6.0, "pin_ms": 4000.0, "hold_ms": 2000.0, "models": []any{map[string]any{"name": "m"}},
			}},
			map[string]any{"name": "pedidos", "health_path": "/health", "max_conns": 100, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}
