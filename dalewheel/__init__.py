"""Decisions of a balancer for long-lived connections."""

from dalewheel.brain import Balancer

__all__ = ["Balancer"]
