"""Types that both planes share: settings, configuration, servers. They have no behavior beyond validation."""
