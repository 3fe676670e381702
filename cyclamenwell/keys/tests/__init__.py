"""Tests of keys and contexts."""
