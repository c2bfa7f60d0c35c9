"""A relay for long-lived client connections, and the placement logic that it is built on."""

from gannetweir.placement.balancer import Balancer

__all__ = ["Balancer", "__version__"]
__version__ = "0.1.0"
