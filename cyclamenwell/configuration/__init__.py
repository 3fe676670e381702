"""Configuration in force: versions, readers, dissemination, audit trail."""

__all__: list[str] = []
