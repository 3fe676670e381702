"""Tests of retry budgets and policies."""
