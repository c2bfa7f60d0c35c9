"""The modelled world: relays with the real engine, clients and backends on virtual time; the checker."""
