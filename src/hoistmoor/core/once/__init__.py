"""At-most-once execution with permits, tickets and idempotency key claims."""
