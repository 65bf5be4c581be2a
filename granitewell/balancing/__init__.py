"""Load-balancing decisions for gateways in front of fleets of HTTP servers."""
