"""Bounds what a host holds in memory for callers and backend servers.

Used by the front of the relay, which reports each byte that it holds.
"""
