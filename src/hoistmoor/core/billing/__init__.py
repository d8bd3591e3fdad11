"""Billing: bill records, their replication to peers, and the statement."""
