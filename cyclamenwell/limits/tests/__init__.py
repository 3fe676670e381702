"""Tests of distributed rate limits."""
