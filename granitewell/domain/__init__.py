"""Terms that both planes share: settings, configuration, servers. No behaviour beyond their checks."""
