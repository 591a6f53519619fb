/** Valid TOML texts, into which tests introduce faults. */

export const ENTRY = `# An entry.
process_id = "entry-a-1"
host = "host-1"
failure_domain = "a"
cluster_secret_file = "cluster.secret"
leave_deadline_ms = 60000
address_hold_ms = 30000

[caller_listener]
ip = "10.0.0.1"
port = 8080
public_url = "http://10.0.0.1:8080"

[caller_listener.tls]
cert_file = "a.crt"
key_file = "a.key"

[peer_listener]
ip = "10.0.0.1"
port = 7443

[operations_listener]
ip = "10.0.0.1"
port = 9090

[platform]
urls = ["http://10.9.0.1:80"]
credential_file = "/etc/heatherdoor/platform"
timeout_ms = 1000

# [platform.tls]

[[seeds]]
id = "entry-a-2"
peer_address = "10.0.0.2:7443"

[[seeds]]
id = "entry-b-1"
peer_address = "10.0.1.1:7443"

[limits]
body_max_bytes = 1048576
idle_timeout_ms = 60000
`

export const ENDPOINT = `process_id = "worker-0"
host = "host-3"
failure_domain = "a"
cluster_secret_file = "cluster.secret"
service = "guidance"
warm_cap = 8
cold_cap = 2
group = "g"
rank = 0

[endpoint]
url = "http://127.0.0.1:9000"
checks_fencing = true

[peer_listener]
ip = "10.0.1.3"
port = 7443

[operations_listener]
ip = "10.0.1.3"
port = 9090

[platform]
urls = ["http://10.9.0.1:80"]
`

export const CONFIGURATION = `[[failure_domains]]
name = "a"
region = "north"

[[failure_domains]]
name = "b"
region = "north"

[[entries]]
id = "entry-a-1"
host = "host-1"
failure_domain = "a"
caller_url = "http://10.0.0.1:8080"
peer_address = "10.0.0.1:7443"

[[endpoints]]
id = "worker-0"
host = "host-3"
failure_domain = "a"
service = "guidance"
peer_address = "10.0.1.1:7443"
checks_fencing = true
warm_cap = 8
cold_cap = 2
group = "g"
rank = 0

[[endpoints]]
id = "worker-1"
host = "host-4"
failure_domain = "a"
service = "guidance"
peer_address = "10.0.1.2:7443"
checks_fencing = true
warm_cap = 8
cold_cap = 2
group = "g"
rank = 1

[[endpoints]]
id = "counter-1"
host = "host-5"
failure_domain = "b"
service = "counter"
peer_address = "10.0.1.3:7443"
checks_fencing = false
warm_cap = 16
cold_cap = 4

[[services]]
name = "guidance"
kind = "model"
profile = "text"
model = "guidance-1"

[[services]]
name = "counter"
kind = "plain"
profile = "counter"

[[profiles]]
name = "text"
priority = "normal"
idempotency = "always"
deadline_ms = 60000
queue_max = 64
team_share_max = 0.5
attempts_max = 3
backoff_base_ms = 50
hedge_after_ms = 2000

[[profiles]]
name = "counter"
priority = "urgent"
idempotency = "safe-methods"
deadline_ms = 5000
queue_max = 32
team_share_max = 0.8
attempts_max = 2
backoff_base_ms = 20
failure_domains = ["a", "b"]

[[teams]]
name = "alpha"
weight = 4
services = ["guidance", "counter"]
keys = ["${'1'.repeat(32)}:${'2'.repeat(64)}"]

[[teams]]
name = "beta"
weight = 1
services = ["guidance"]
keys = []

[[groups]]
name = "g"
service = "guidance"
ranks = 2
layers = 4
experts_per_layer = 8
slots_per_rank = 6
`
