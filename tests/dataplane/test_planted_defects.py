"""Planted defects: for each guard of the data plane that is disabled, its test must fail."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import pytest

from granitewell.dataplane.dispatch import Dispatcher
from granitewell.dataplane.edge import DataPlane
from granitewell.dataplane.failure_suspicion import FailureSuspicion
from granitewell.dataplane.http_server import ClientConnection, ClientServer, HttpServer
from granitewell.dataplane.request import Attempts
from granitewell.dataplane.request_forwarder import RequestForwarder
from granitewell.dataplane.routes import RouteTable
from granitewell.dataplane.servers import ServerRecord
from granitewell.domain.configuration import Configuration
from tests.dataplane import test_draining as draining
from tests.dataplane import test_failure_suspicion as failure_suspicion_tests
from tests.dataplane import test_leaving_clients as leaving
from tests.dataplane import test_refusals as refusals
from tests.dataplane import test_time_left as time_left

Patch = pytest.MonkeyPatch


# --- Disabled guards ------------------------------------------------------------------------------------
def ready_during_drain(patch: Patch) -> None:
    patch.setattr(DataPlane, "ready", property(lambda plane: plane._configuration is not None))


def drain_forgotten_on_server_update(patch: Patch) -> None:
    apply_servers = DataPlane.apply_servers

    def forget_drain(plane: DataPlane, *news: Any) -> None:
        plane._draining_since = None
        apply_servers(plane, *news)

    patch.setattr(DataPlane, "apply_servers", forget_drain)


def full_timeout_sent_to_servers(patch: Patch) -> None:
    patch.setattr(
        RequestForwarder, "remaining_s", property(lambda x: x.request.deadline - x.request.arrived_at)
    )


def client_deadline_ignored(patch: Patch) -> None:
    patch.setattr("granitewell.dataplane.edge.parse_milliseconds", lambda _: None)


def queue_position_kept(patch: Patch) -> None:
    patch.setattr(Dispatcher, "leave", lambda dispatcher, position: None)


def handlers_outlive_clients(patch: Patch) -> None:
    make = ClientServer.__init__

    def without_cancellation(server: ClientServer, *given: Any) -> None:
        make(server, *given)
        server.handler_cancellation = False

    patch.setattr(ClientServer, "__init__", without_cancellation)


def client_disconnect_ignored(patch: Patch) -> None:
    patch.setattr("granitewell.dataplane.edge.peer_has_closed", lambda _: False)


def empty_routes_without_configuration(patch: Patch) -> None:
    async def knows_nothing(plane: DataPlane, _: Any) -> None:
        plane._routes = RouteTable(Configuration(0, {}, {}))

    patch.setattr(DataPlane, "_wait_for_configuration", knows_nothing)


def default_limits_reject(patch: Patch) -> None:
    patch.setattr("granitewell.dataplane.edge.LIMIT_EXCEEDED_STATUSES", frozenset())


def limits_fixed_per_connection(patch: Patch) -> None:
    patch.setattr("granitewell.dataplane.http_server.MAX_HEAD_BYTES", 0)


def drain_drops_bodies(patch: Patch) -> None:
    patch.setattr(ClientConnection, "close_if_idle", lambda c: c.force_close() if c.idle else c.close())


def unsent_responses_dropped(patch: Patch) -> None:
    patch.setattr(HttpServer, "_unsent", lambda front: False)


def listener_closed_at_once(patch: Patch) -> None:
    patch.setattr("granitewell.dataplane.edge.LISTEN_AFTER_DRAIN_S", 0.0)


def timeouts_disabled(patch: Patch) -> None:
    def no_end(_: float) -> asyncio.Timeout:
        return asyncio.timeout(None)

    class Module:
        """asyncio with timeouts that never expire."""

        timeout = staticmethod(no_end)

        def __getattr__(self, name: str) -> Any:
            return getattr(asyncio, name)

    patch.setattr("granitewell.dataplane.request_forwarder.asyncio", Module())


def attempts_not_counted(patch: Patch) -> None:
    patch.setattr(Attempts, "may_retry", lambda attempts: True)


def only_latest_idle_limit_applies(patch: Patch) -> None:
    patch.setattr(ClientConnection, "idle_too_long", lambda c, now, s: c.idle and now - c._active_at > s)


def earlier_responses_end_suspicion(patch: Patch) -> None:
    succeeded = FailureSuspicion.succeeded
    patch.setattr(FailureSuspicion, "succeeded", lambda it, _: succeeded(it, it._failed_at))


def final_attempts_ignore_suspicion(patch: Patch) -> None:
    is_healthy = ServerRecord.is_healthy
    patch.setattr(
        ServerRecord,
        "is_healthy",
        lambda it, now, unresponsive_after_s, is_final_attempt=False: is_healthy(
            it, now, unresponsive_after_s
        ),
    )


@dataclass(frozen=True)
class Defect:
    """A disabled guard, and the test that must fail."""

    plant: Callable[[Patch], None]
    noticed_by: Callable[[], None]


def idle_limits(before_ms: float, after_ms: float) -> Callable[[], None]:
    return lambda: draining.test_idle_connection_is_kept_for_the_longer_limit(before_ms, after_ms)


DEFECTS = (
    Defect(ready_during_drain, draining.test_drain_ends_readiness_for_good),
    Defect(drain_forgotten_on_server_update, draining.test_drain_ends_readiness_for_good),
    Defect(
        full_timeout_sent_to_servers,
        lambda: time_left.test_each_attempt_sends_the_remaining_time("again", "4000"),
    ),
    Defect(
        client_deadline_ignored,
        lambda: time_left.test_each_attempt_sends_the_remaining_time("once", "4000"),
    ),
    Defect(queue_position_kept, leaving.test_abandoned_request_waiting_for_a_model_is_never_sent),
    Defect(
        handlers_outlive_clients,
        lambda: leaving.test_server_connection_is_closed_when_the_client_leaves("/again/x", "closed"),
    ),
    Defect(
        client_disconnect_ignored,
        leaving.test_request_of_a_disconnected_client_is_not_sent,
    ),
    Defect(
        empty_routes_without_configuration,
        lambda: refusals.test_node_without_configuration_answers_503("/once/x", "shop.example"),
    ),
    Defect(
        default_limits_reject,
        lambda: refusals.test_default_limits_reject_no_request_finally(refusals.LONG_BODY, "1"),
    ),
    Defect(limits_fixed_per_connection, refusals.test_raised_limits_apply_to_open_connections),
    Defect(
        drain_drops_bodies,
        draining.test_body_is_read_completely_when_the_listener_closes,
    ),
    Defect(unsent_responses_dropped, draining.test_drain_waits_for_a_slow_client),
    Defect(listener_closed_at_once, draining.test_listener_stays_open_for_two_readiness_checks),
    Defect(
        timeouts_disabled,
        lambda: time_left.test_route_timeout_ends_in_a_final_response("once", time_left.never_responds),
    ),
    Defect(
        attempts_not_counted,
        lambda: time_left.test_stream_uses_no_more_servers_than_the_route_allows(2),
    ),
    Defect(only_latest_idle_limit_applies, idle_limits(20_000, 5_000)),
    Defect(
        earlier_responses_end_suspicion,
        failure_suspicion_tests.test_responses_to_earlier_requests_do_not_end_suspicion,
    ),
    Defect(
        final_attempts_ignore_suspicion,
        failure_suspicion_tests.test_after_ejection_a_server_gets_only_retryable_requests,
    ),
)


@pytest.mark.parametrize("defect", DEFECTS, ids=lambda defect: defect.plant.__name__)
def test_planted_defect_fails_its_test(defect: Defect, monkeypatch: pytest.MonkeyPatch) -> None:
    defect.noticed_by()
    defect.plant(monkeypatch)
    with pytest.raises((AssertionError, TimeoutError, ConnectionError)):
        defect.noticed_by()
