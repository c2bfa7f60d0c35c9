"""Decisions of a balancer for long-lived connections."""

from gannetweir.brain import Balancer

__all__ = ["Balancer"]
