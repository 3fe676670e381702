"""Tests of the capacity package."""
