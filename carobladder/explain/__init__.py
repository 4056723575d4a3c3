"""Explanation of the outcome of a request from the logs of instances."""
