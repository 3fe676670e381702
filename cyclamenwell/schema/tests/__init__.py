"""Tests of the schema package."""
