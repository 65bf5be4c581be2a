"""Types shared by both planes: settings, configuration, servers, and their validation."""
