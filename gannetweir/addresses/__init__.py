"""Which addresses an endpoint has, in what order they are tried, and how each has fared. No I/O, no clock."""
