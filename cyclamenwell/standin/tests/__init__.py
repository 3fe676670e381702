"""Tests of the simulated platform and target."""
