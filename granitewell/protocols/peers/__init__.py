"""The wire protocol between nodes of one installation: frames, bodies, versions and authentication."""
