"""How the control plane brings its state to those that watch it: versioned tables and long-polls."""
