"""Stand-ins on loopback for a relay's peers: backends, discovery and clients, with address faults."""
