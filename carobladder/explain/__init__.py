"""Explanation of a request from the logs of instances."""
