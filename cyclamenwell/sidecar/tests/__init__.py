"""Tests of the sidecar node."""
