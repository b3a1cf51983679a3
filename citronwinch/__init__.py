"""A layer-4 load balancer whose nodes coordinate without shared state.

The parts that others embed are in `citronwinch.coordination`: pure decisions
over typed messages, with no sockets in them. The remaining packages connect
those decisions to one kind of peer each.
"""

__all__ = ["__version__"]

__version__ = "0.1.0"
