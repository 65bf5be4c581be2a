"""The system's command line: its two programs, and the operator's commands for the configuration."""
