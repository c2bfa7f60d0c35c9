"""A relay for long-lived connections, and the decisions it stands on."""

from gannetweir.placement.balancer import Balancer

__all__ = ["Balancer", "__version__"]
__version__ = "0.1.0"
