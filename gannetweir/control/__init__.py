"""Distribution of configuration and membership as numbered versions, for fleets of many relays.

Pure deciders: no I/O and no clock, the time is handed in as `now_us`. The drivers are in `gannetweir.net`
(`control_watch` at a relay, `control_server` at a control machine). Off, and not imported, unless configured.
The design is in docs/control-plane.md.
"""
