"""Stand-ins on loopback for what a relay meets: push nodes, discovery, clients, faults of addresses."""
