"""End-to-end tests with real nodes on loopback."""
