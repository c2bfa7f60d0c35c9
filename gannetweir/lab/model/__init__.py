"""A simulated fleet on virtual time: relays with the real engine, clients, backends and the rule checker."""
