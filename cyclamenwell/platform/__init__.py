"""Adapter to the platform: wire names, formats and requests.

This package decodes what the platform, callers and targets send into the types
of `cyclamenwell.generated`. It makes no decisions, and no other package
contains the names that are used on the wire.
"""

__all__ = ["decoder", "http_adapter", "names", "settings", "store"]
