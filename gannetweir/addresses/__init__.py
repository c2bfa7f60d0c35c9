"""Which addresses a server has, in what order they are tried, what was learnt of each. No I/O, no clock."""
