"""The endpoint list with the operators' overrides, and the start times of endpoints. No I/O, no clock."""
