"""Scripts for work on the project; nothing here is installed or serves. Run as `python -m tools.NAME`."""
