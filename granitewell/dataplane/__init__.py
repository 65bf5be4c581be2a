"""The data plane: routes, dispatch, streams, connections to servers, readiness and draining."""
