"""Tests of at-most-once execution."""
