"""All placement decisions: takes an event and the time, returns actions. No I/O, no clock."""
