"""Log lines, counters, the trace of placement, and non-blocking standard error."""
