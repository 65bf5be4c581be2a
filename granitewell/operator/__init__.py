"""The operator file: a typed table for each subsystem, validation, reload, and the reference page.

A table takes its defaults from the settings type of the subsystem that it configures, so that no default is
defined twice. The package needs msgspec, so the node imports it only if an operator file is named.
"""
