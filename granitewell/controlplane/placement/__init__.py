"""Which engine server holds which models and adapters: observe, plan, order.

observation: what is known of each server. demand: what is asked for. limits: memory, the weight store's rate.
planner: servers and demand in, orders out. reconciler: the pure loop around them, with polling (when servers
are asked), issuing (the last checks of an order), readiness (what requests may be sent for) and steps (what
it gives out). orders: the wire. controller: the asyncio shell that the control process runs.
"""
