"""Placement of models and adapters on engine servers: observe, plan, order.

observation: what is known of each server. demand: what is requested. limits: memory, and the rate of the
weight store. planner: servers and demand in, orders out. reconciler: the loop around them without I/O, with
polling (when servers are polled), issuing (the last checks of an order), readiness (the models for which
requests may be sent) and steps (its output). orders: the wire format. controller: the asyncio part that the
control process runs.
"""
