"""Guards of the data plane taken out on purpose: a test must fail for each, or it proves nothing."""

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
from tests.dataplane import test_failure_suspicion as doubt
from tests.dataplane import test_leaving_clients as leaving
from tests.dataplane import test_refusals as refusals
from tests.dataplane import test_time_left as time_left

Patch = pytest.MonkeyPatch


# --- The guards that are taken out ------------------------------------------------------------------------
def ready_in_a_drain(patch: Patch) -> None:
    patch.setattr(DataPlane, "ready", property(lambda plane: plane._configuration is not None))


def ready_again_with_news(patch: Patch) -> None:
    apply_servers = DataPlane.apply_servers

    def forgets_the_drain(plane: DataPlane, *news: Any) -> None:
        plane._draining_since = None
        apply_servers(plane, *news)

    patch.setattr(DataPlane, "apply_servers", forgets_the_drain)


def deadline_handed_on_unchanged(patch: Patch) -> None:
    patch.setattr(RequestForwarder, "left_s", property(lambda x: x.request.deadline - x.request.arrived_at))


def deadline_of_the_route_only(patch: Patch) -> None:
    patch.setattr("granitewell.dataplane.edge.parse_milliseconds", lambda _: None)


def place_in_line_kept(patch: Patch) -> None:
    patch.setattr(Dispatcher, "leave", lambda dispatcher, place: None)


def handlers_outlive_clients(patch: Patch) -> None:
    make = ClientServer.__init__

    def without_cancellation(server: ClientServer, *given: Any) -> None:
        make(server, *given)
        server.handler_cancellation = False

    patch.setattr(ClientServer, "__init__", without_cancellation)


def end_of_client_not_looked_for(patch: Patch) -> None:
    patch.setattr("granitewell.dataplane.edge.peer_has_closed", lambda _: False)


def no_route_without_configuration(patch: Patch) -> None:
    async def knows_nothing(plane: DataPlane, _: Any) -> None:
        plane._routes = RouteTable(Configuration(0, {}, {}))

    patch.setattr(DataPlane, "_wait_for_configuration", knows_nothing)


def usual_limits_refuse(patch: Patch) -> None:
    patch.setattr("granitewell.dataplane.edge.LIMIT_EXCEEDED_STATUSES", frozenset())


def limits_of_the_connection(patch: Patch) -> None:
    patch.setattr("granitewell.dataplane.http_server.MAX_HEAD_BYTES", 0)


def bodies_dropped_by_a_drain(patch: Patch) -> None:
    patch.setattr(ClientConnection, "close_if_idle", lambda c: c.force_close() if c.idle else c.close())


def last_answers_cut(patch: Patch) -> None:
    patch.setattr(HttpServer, "_unsent", lambda front: False)


def listener_closed_at_once(patch: Patch) -> None:
    patch.setattr("granitewell.dataplane.edge.LISTEN_AFTER_DRAIN_S", 0.0)


def time_without_end(patch: Patch) -> None:
    def no_end(_: float) -> asyncio.Timeout:
        return asyncio.timeout(None)

    class Module:
        """asyncio with time-outs that never come."""

        timeout = staticmethod(no_end)

        def __getattr__(self, name: str) -> Any:
            return getattr(asyncio, name)

    patch.setattr("granitewell.dataplane.request_forwarder.asyncio", Module())


def attempts_not_counted(patch: Patch) -> None:
    patch.setattr(Attempts, "may_retry", lambda attempts: True)


def idle_by_the_newest_limit_only(patch: Patch) -> None:
    patch.setattr(ClientConnection, "idle_too_long", lambda c, now, s: c.idle and now - c._active_at > s)


def old_answers_prove(patch: Patch) -> None:
    succeeded = FailureSuspicion.succeeded
    patch.setattr(FailureSuspicion, "succeeded", lambda it, _: succeeded(it, it._failed_at))


def careful_requests_are_not(patch: Patch) -> None:
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
    """A guard that is taken out, and the test that must notice."""

    plant: Callable[[Patch], None]
    noticed_by: Callable[[], None]


def either_limit(before_ms: float, after_ms: float) -> Callable[[], None]:
    return lambda: draining.test_a_connection_rests_as_long_as_either_limit_allows(before_ms, after_ms)


DEFECTS = (
    Defect(ready_in_a_drain, draining.test_readiness_ends_with_sigterm_and_never_comes_back),
    Defect(ready_again_with_news, draining.test_readiness_ends_with_sigterm_and_never_comes_back),
    Defect(
        deadline_handed_on_unchanged,
        lambda: time_left.test_each_send_hands_on_what_is_left_of_the_shorter_time("again", "4000"),
    ),
    Defect(
        deadline_of_the_route_only,
        lambda: time_left.test_each_send_hands_on_what_is_left_of_the_shorter_time("once", "4000"),
    ),
    Defect(place_in_line_kept, leaving.test_one_that_waits_for_a_model_leaves_the_line_and_is_never_sent),
    Defect(
        handlers_outlive_clients,
        lambda: leaving.test_a_server_at_work_is_told_at_once("/again/x", "closed"),
    ),
    Defect(
        end_of_client_not_looked_for,
        leaving.test_a_request_whose_client_had_left_before_it_was_read_is_not_sent,
    ),
    Defect(
        no_route_without_configuration,
        lambda: refusals.test_a_node_without_a_configuration_says_503("/once/x", "shop.example"),
    ),
    Defect(
        usual_limits_refuse,
        lambda: refusals.test_limits_that_nobody_has_told_refuse_nothing(refusals.LONG_BODY, "1"),
    ),
    Defect(limits_of_the_connection, refusals.test_limits_that_grow_count_for_connections_that_are_open),
    Defect(
        bodies_dropped_by_a_drain,
        draining.test_a_body_on_its_way_when_the_listener_closes_is_read_to_its_end,
    ),
    Defect(last_answers_cut, draining.test_an_answer_that_a_slow_client_still_reads_is_not_cut),
    Defect(listener_closed_at_once, draining.test_clients_are_taken_until_the_platform_has_asked_twice),
    Defect(
        time_without_end,
        lambda: time_left.test_the_route_s_time_ends_in_a_final_answer("once", time_left.silent),
    ),
    Defect(
        attempts_not_counted,
        lambda: time_left.test_one_answer_uses_no_more_servers_than_the_route_allows(2),
    ),
    Defect(idle_by_the_newest_limit_only, either_limit(20_000, 5_000)),
    Defect(old_answers_prove, doubt.test_answers_to_requests_from_before_the_failure_prove_nothing),
    Defect(
        careful_requests_are_not,
        doubt.test_after_its_avoidance_a_failed_server_is_tried_only_by_what_may_be_repeated,
    ),
)


@pytest.mark.parametrize("defect", DEFECTS, ids=lambda defect: defect.plant.__name__)
def test_a_defect_is_noticed(defect: Defect, monkeypatch: pytest.MonkeyPatch) -> None:
    defect.noticed_by()
    defect.plant(monkeypatch)
    with pytest.raises((AssertionError, TimeoutError, ConnectionError)):
        defect.noticed_by()
