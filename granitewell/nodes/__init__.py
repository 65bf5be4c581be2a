"""Processes of the system, assembled from the control plane and the data plane."""
