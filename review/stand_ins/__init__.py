"""Stand-ins for clients, backends and discovery, and the start of real relays."""
