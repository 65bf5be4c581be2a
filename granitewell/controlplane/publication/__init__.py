"""Publication of the control plane's state to watchers: versioned tables and long-polls."""
