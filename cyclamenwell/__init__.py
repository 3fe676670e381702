"""Overload control layer for service call graphs."""

__all__ = ["__version__"]

__version__ = "0.1.0"
