"""Every placement decision: an event and the time in, actions out. No I/O, no clock."""
