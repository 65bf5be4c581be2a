"""The operator's configuration: checks, the replicated store, the edges' view of it, and the operator API."""
