"""Configuration: versions in force, platform reads, gossip and audit trail."""

__all__: list[str] = []
