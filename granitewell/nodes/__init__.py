"""The processes of the system, assembled from the planes' libraries: one module a role."""
