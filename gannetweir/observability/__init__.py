"""Log lines, counters, the trace of decisions, and standard error that never blocks."""
