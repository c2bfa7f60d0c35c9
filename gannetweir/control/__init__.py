"""Distribution of configuration and membership as numbered versions, for fleets of many relays.

Pure deciders: no I/O and no clock, the time is passed in as `now_us`, microseconds of a monotonic clock.
The drivers are in `gannetweir.net` (`control_watch` at a relay, `control_server` at a control machine).
Off, and not imported, unless configured. The design is in docs/control-plane.md.

At a control machine, from the store of record to a relay:

    store               the interface to the store of record
    version_log         recent versions of a resource, with compaction
    version_history     one resource as this machine has it: released and staged versions, and slices of them
    session             one relay's watch of one resource: what it has applied, and what it is sent
    publisher           which version each subscribed relay gets, and what it has acknowledged
    machine             the publishers of all resources behind one token bucket a relay
    stage, rollout      the canary stage of a version, and the decision on it
    status_report       where versions stand, bounded for any number of relays

At a relay: `machine_selector` (which machine to call, backoff), `assembly` (a version that is being
received) and `follower` (checks, applies and acknowledges versions). Both sides share `versions`.
"""
