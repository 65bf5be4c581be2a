"""The operator's configuration: validation, replicated store, the edges' view, operator API."""
