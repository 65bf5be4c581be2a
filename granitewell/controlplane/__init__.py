"""The control plane: configuration store, operator API, service registry, placement, publication."""
