"""Distribution of configuration and membership as numbered versions, for fleets of many relays.

The modules hold decision logic only: they do no I/O and read no clock. Callers pass the time as `now_us`, in
microseconds of a monotonic clock. The drivers are in `gannetweir.net` (`control_watch` at a relay,
`control_server` at a control machine). The package is imported only where the control plane is configured.
The design is described in docs/control-plane.md.

Modules at a control machine, in the order from the store of record to a relay:

    store               the interface to the store of record
    version_log         recent versions of a resource, with compaction
    version_history     a machine's copy of one resource: released and staged versions, and their slices
    session             a relay's watch of one resource: its applied version and the version being sent
    publisher           selects the version that each subscribed relay gets, and records ACKs and NACKs
    machine             the publishers of all resources, rate-limited by one token bucket per relay
    stage, rollout      the canary stage of a version, and the decision to release or halt that version
    status_report       rollout progress per resource, in a report of bounded size

Modules at a relay: `machine_selector` (selects the machine to call, backoff), `assembly` (a version that is
being received) and `follower` (checks, applies and acknowledges versions). Both sides share `versions`.
"""
