"""Links from this host to the backend servers, and hosts that forward.

Decides whether a server that cannot be reached has failed or whether this host
has lost its own link, and which other host then forwards the requests.
"""
