"""Processes of the system, assembled from the libraries of the planes; one module per role."""
