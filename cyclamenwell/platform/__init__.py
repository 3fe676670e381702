"""Adapter to the platform: its names, formats and calls.

Everything that the platform, callers or targets spell in their own way is
decoded here, once, into the types of `cyclamenwell.generated`. Nothing here
decides, and no other package knows these names.
"""

__all__ = ["decoder", "dialect", "names", "settings", "store"]
