"""The scenarios of the five points of the worst days; times are offsets from the start of the scenario.

Successive losses of counted machines come `catch-up-s` after the previous machine is back. The bench delays a
loss beyond the deployment's fault tolerance, so that no day exceeds it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from random import Random
from typing import Any

from tools.bench_days import Day, Entry, Listing, Site

CUT_DURATION_S = 20.0
DOWNTIME_S = 1.0  # of a machine that lost its power or its disk
CATCH_UP_MARGIN_S = 0.5
MAX_SECOND_START_S = 3.0


@dataclass(frozen=True, slots=True)
class Scenario:
    """The events of a day of one point."""

    name: str
    entries: tuple[Entry, ...]
    closing: Entry | None = None

    def day(self, point: str, moment_s: float) -> Day:
        """Return the day on which the scenario starts at this moment."""
        entries = [dict(entry) | {"at": round(entry["at"] + moment_s, 2)} for entry in self.entries]
        return Day.of(f"{point}-{self.name}-{moment_s:g}", entries, self.closing)

    def on(self, listing: Listing) -> Scenario | None:
        """Return the scenario with events that the site allows; None if it does not allow it."""
        entries = tuple(each for entry in self.entries for each in as_listed(entry, listing))
        if not all(map(listing.allows, entries)):
            return None
        return replace(self, entries=entries)


def event(kind: str, at: float = 0.0, **fields: Any) -> Entry:
    """Build one entry of a day."""
    return {"at": at, "kind": kind} | fields


def as_listed(entry: Entry, listing: Listing) -> Iterator[Entry]:
    """Yield the entry, or single changes in place of a storm that the site does not allow."""
    if entry["kind"] != "config_storm" or listing.allows(entry):
        yield entry
        return
    count = entry.get("count") or round(entry["for_s"] / entry["gap_s"])
    yield from changes(entry["at"], count, entry["gap_s"])


def changes(at: float, count: int, gap_s: float, how: str = "timeout") -> Iterator[Entry]:
    """Yield single changes, one after the other."""
    for number in range(count):
        yield event("config_change", at + number * gap_s, how=how)


def races(at: float, count: int, gap_s: float) -> Entry:
    """Return concurrent pairs of changes based on the same version."""
    return event("config_race", at, count=count, gap_s=gap_s)


def lost_answers(at: float, for_s: float, share: float = 0.7) -> Entry:
    """Return lost acknowledgements, after which the operator sends the same change again."""
    return event("ack_lost", at, x=share, for_s=for_s)


def cut_off(site: Site) -> Iterator[Scenario]:
    """1: control machines are partitioned or frozen for 20 s during changes and concurrent changes."""
    operator_changes = (races(1.0, 4, 4.0), *changes(2.5, 5, 3.5))
    variants = {
        "silent": "", "leader": "leader race hard", "refused": "leader refuse race drain",
        "reset": "leader reset race", "one-way": "leader one_way race hard", "one-way-any": "one_way meet",
        "reader": "reader race", "seeds": "seeds", "restarted": "both", "from-all": "leader all race",
        "near": "leader near race", "lure": "lure",
    }  # fmt: skip
    for name, how in variants.items():
        cut = event("core_cut", count=site.losses, for_s=CUT_DURATION_S, how=how)
        yield Scenario(f"cut-{name}", (cut, *operator_changes))
    cut = event("core_cut", count=site.losses, for_s=CUT_DURATION_S, how="leader one_way race")
    yield Scenario("cut-lost-answers", (cut, *operator_changes, lost_answers(0.5, CUT_DURATION_S)))
    step = event("clock_step", 2.0, share=0.5, x=4000.0, for_s=12.0, how="leader")
    yield Scenario("cut-clocks", (cut, step, *operator_changes))
    heals = [
        event("core_cut", 5.0 * n, count=site.losses, for_s=3.0, how="leader race hard") for n in range(5)
    ]
    yield Scenario("cut-heals-often", (*heals, *operator_changes))
    freeze = event(
        "node_freeze", on="core", count=site.losses, for_s=CUT_DURATION_S, how="leader race drain hard"
    )
    yield Scenario("frozen-leader", (freeze, *operator_changes))
    thaws = [
        event("node_freeze", 5.0 * n, on="core", count=1, for_s=2.5, how="leader race hard") for n in range(5)
    ]
    yield Scenario("freezes-often", (*thaws, *operator_changes))
    for name, how in {"edges": "", "edges-from-all": "all", "servers": "servers"}.items():
        yield Scenario(
            f"cut-{name}", (event("node_cut", share=0.3, for_s=CUT_DURATION_S, how=how), *operator_changes)
        )
    for name, how in {"servers-core": "fronts", "servers-one-way": "one_way"}.items():
        cut = event("srv_cut", share=0.3, for_s=CUT_DURATION_S, how=how)
        yield Scenario(f"cut-{name}", (cut, *operator_changes, event("model_shift", 3.0, count=3, for_s=6.0)))


def confirmations(site: Site) -> Iterator[Scenario]:
    """2: concurrent changes, lost answers, and power loss of the machine that acknowledges."""
    step_s = 2.0 + site.catch_up_s + CATCH_UP_MARGIN_S
    raced = (races(0.5, 8, 1.5), lost_answers(0.0, 18.0))

    def killed(how: str, times: int, count: int = 1) -> Iterator[Entry]:
        for number in range(times):
            yield event("after_ack_kill", 1.0 + number * step_s, count=count, for_s=2.0, how=how)

    yield Scenario("races", raced)
    for name, how in {"power": "", "kill": "kill", "timed": "timed", "taken": "taken"}.items():
        yield Scenario(f"races-{name}", (*raced, *killed(how, 3, site.losses)))
    storm = event("config_storm", for_s=16.0, gap_s=0.25)
    yield Scenario("storm", (storm, lost_answers(0.0, 18.0, 0.5), *killed("timed", 3)))
    yield Scenario("storm-races", (storm, *raced, *killed("", 2, site.losses)))
    invalid = [
        event("bad_config", 0.5 + n, count=6, gap_s=2.0, how=how)
        for n, how in enumerate(("stale_match", "shared_key", "same_version", "old_version"))
    ]
    yield Scenario("invalid", (*raced, *invalid, *killed("kill", 2)))
    terms = event("roll_term", 2.0, on="core", share=1.0, x=1.0, gap_s=step_s, how="busy")
    yield Scenario("restarts", (*raced, terms))
    herd = [event("herd_kill", 3.0 + 8.0 * n, on="core", how=how) for n, how in enumerate(("", "power"))]
    yield Scenario("herd", (*raced, *herd))
    yield Scenario("everything", (*raced, event("herd_kill", 4.0, on="core", how="taken all")))
    leader = event("node_kill", 2.0, on="core", count=1, for_s=2.0, how="leader race hard")
    yield Scenario("leader-race", (*raced, leader, dict(leader) | {"at": 2.0 + step_s}))
    ends = (
        ("power_off_all", "timed"),
        ("power_off_all", "taken"),
        ("kill_all", "timed"),
        ("wipe_after_ack", "aimed"),
    )
    for kind, how in ends:
        closing = {"kind": kind, "down_s": 1.2, "how": how}
        raced_late = (races(12.0, 8, 1.2), lost_answers(11.0, 14.0))
        yield Scenario(f"races-then-{kind}-{how}", raced_late, closing)


def second_losses(site: Site) -> Iterator[Scenario]:
    """3: a second loss directly after a repair, a replacement or new seeds."""
    step_s = DOWNTIME_S + site.catch_up_s + CATCH_UP_MARGIN_S
    operator_changes = tuple(changes(1.0, 10, 1.8))

    def wiped(at: float, times: int, how: str = "") -> Iterator[Entry]:
        for number in range(times):
            yield event("after_ack_wipe", at + number * step_s, count=site.losses, for_s=DOWNTIME_S, how=how)

    def replaced(at: float, how: str) -> Entry:
        return event("replace_core", at, x=DOWNTIME_S, how=how)

    def lost(at: float, how: str) -> Entry:
        return event("node_kill", at, on="core", count=site.losses, for_s=DOWNTIME_S, how=how)

    yield Scenario("wiped-in-a-row", (*operator_changes, *wiped(0.5, 4)))
    yield Scenario("oldest-wiped", (*operator_changes, *wiped(0.5, 4, "oldest")))
    for name, how in {"gone": "", "planned": "planned", "oldest": "oldest"}.items():
        yield Scenario(f"{name}-then-wiped", (*operator_changes, replaced(0.5, how), *wiped(0.5 + step_s, 2)))
        again = [replaced(0.5 + n * step_s, how) for n in range(3)]
        yield Scenario(f"{name}-in-a-row", (*operator_changes, *again))
        power = (lost(0.5 + step_s, "leader power race"), lost(0.5 + 2 * step_s, "power"))
        yield Scenario(f"{name}-then-power", (*operator_changes, replaced(0.5, how), *power))
        yield Scenario(f"{name}-then-at-once", (*operator_changes, replaced(0.5, how), *wiped(0.7, 2)))
    slow = event("disk_slow", 0.2, count=site.losses, x=30.0, for_s=8.0)
    yield Scenario(
        "slow-disk", (*operator_changes, slow, replaced(0.5, "planned"), lost(9.0 + step_s, "leader power"))
    )
    seeds = event("seed_turnover")
    yield Scenario(
        "new-seeds", (*operator_changes, seeds, replaced(1.0, ""), lost(1.0 + step_s, "seed race"))
    )
    cut = event("core_cut", 0.5 + step_s, count=site.losses, for_s=8.0, how="leader race")
    yield Scenario("gone-then-cut", (*operator_changes, replaced(0.5, ""), cut))
    terms = event("roll_term", 0.5, on="core", share=1.0, x=1.0, gap_s=step_s)
    yield Scenario("restarts-then-wiped", (*operator_changes, terms, *wiped(0.5 + 3 * step_s, 1)))
    herd = event("herd_kill", 1.0 + step_s, on="core", how="power")
    yield Scenario("replaced-then-herd", (*operator_changes, replaced(0.5, "planned"), herd))
    for how in ("aimed", "oldest"):
        closing = {"kind": "wipe_after_ack", "down_s": 1.2, "how": how}
        yield Scenario(
            f"replaced-then-end-{how}", (*operator_changes, replaced(8.0, ""), replaced(16.0, "")), closing
        )


def many_changes(site: Site) -> Iterator[Scenario]:
    """4: hundreds of changes, then restarts, losses and disk faults."""
    step_s = DOWNTIME_S + site.catch_up_s + CATCH_UP_MARGIN_S
    storm = event("config_storm", count=330, gap_s=0.03)
    late_s = 12.0
    terms = event("roll_term", late_s, on="core", share=1.0, x=1.0, gap_s=step_s)

    def killed(at: float, how: str) -> Entry:
        return event("node_kill", at, on="core", count=site.losses, for_s=DOWNTIME_S, how=how)

    def disk(kind: str, for_s: float, **fields: Any) -> Entry:
        return event(kind, 1.0, count=site.losses, for_s=for_s, **fields)

    yield Scenario("restarts", (storm, terms))
    yield Scenario("herd", (storm, event("herd_kill", late_s, on="core")))
    yield Scenario("herd-power", (storm, event("herd_kill", 5.0, on="core", how="power")))
    yield Scenario("kills", (storm, killed(3.0, "leader race"), killed(3.0 + step_s, "power")))
    yield Scenario("wiped", (storm, event("after_ack_wipe", 4.0, count=site.losses, for_s=DOWNTIME_S)))
    yield Scenario("replaced", (storm, event("replace_core", 4.0, x=DOWNTIME_S, how="planned"), terms))
    yield Scenario("cut", (storm, event("core_cut", 1.0, count=site.losses, for_s=10.0, how="leader"), terms))
    yield Scenario("frozen", (storm, event("node_freeze", 1.0, on="core", count=1, for_s=10.0)))
    yield Scenario(
        "slow-disk", (storm, disk("disk_slow", 12.0, x=30.0, how="leader"), killed(19.0, "leader"))
    )
    yield Scenario("full-disk", (storm, disk("disk_full", 8.0), terms))
    yield Scenario("full-disk-leader", (storm, disk("disk_full", 8.0, how="leader"), killed(16.0, "power")))
    yield Scenario("stalled-disk", (storm, disk("disk_stall", 6.0), killed(16.0, "leader")))
    whole = (event("big_config", count=site.routes), event("big_config", 6.0, count=site.routes))
    yield Scenario("routes", (*whole, terms))
    yield Scenario(
        "routes-wiped", (*whole, event("after_ack_wipe", 8.0, count=site.losses, for_s=DOWNTIME_S))
    )
    yield Scenario("routes-slow", (*whole, disk("disk_slow", 12.0, x=30.0), storm, killed(19.0, "leader")))
    for kind in ("power_off_all", "wipe_after_ack"):
        yield Scenario(f"then-{kind}", (dict(storm) | {"at": 8.0},), {"kind": kind, "down_s": 1.2})


def calls(site: Site) -> Iterator[Scenario]:
    """5: servers that reset, stop answering, hang, or answer early, late, twice or without a length."""

    def grey(how: str, share: float = 0.3, at: float = 0.0) -> Entry:
        return event("srv_grey", at, how=how, share=share, x=0.4, for_s=12.0)

    def spoilt(how: str) -> Entry:
        return event("garble", how=how, share=0.6, x=0.03, for_s=15.0)

    resets = event("reset_conns", 1.0, share=0.5, x=0.5)
    answers = event("answer_lost", how="reset", share=0.5, x=0.05, for_s=15.0)
    for how in ("reset", "mute", "hang", "busy", "shed"):
        yield Scenario(f"grey-{how}", (grey(how), resets))
    for how in ("reset", "mute", "hang"):
        yield Scenario(f"grey-{how}-all", (grey(f"{how} all", 0.6), resets))
    for how in ("hang", "reset"):
        yield Scenario(f"lying-{how}", (event("srv_lying_health", how=how, share=0.2, for_s=12.0),))
    for name in ("extra", "unframed", "early", "extra early unframed"):
        yield Scenario(f"garbled-{name.replace(' ', '-')}", (spoilt(name), answers))
    yield Scenario("lost", (answers, event("answer_lost", 4.0, share=0.5, x=0.05, for_s=12.0), resets))
    yield Scenario("dark", (event("srv_crash", share=0.2, for_s=6.0, how="dark"), answers, resets))
    reused = [event("replace_with_reuse", 6.0 * n, how=how) for n, how in enumerate(("dark", "drain", ""))]
    yield Scenario("reused-addresses", (*reused, answers))
    resting = [event("idle_race", 3.0 * n, share=0.5, x=300.0) for n in range(4)]
    yield Scenario("idle", (*resting, answers))
    edges = event("herd_kill", 5.0, share=0.5, how="power")
    yield Scenario("edges-killed", (grey("reset"), answers, edges))
    given_up = event("give_up", share=0.3, for_s=12.0)
    yield Scenario("given-up", (grey("hang"), given_up, spoilt("extra")))
    yield Scenario("repeated", (grey("reset"), event("retry_abuse", x=3.0, share=0.3, for_s=12.0), answers))
    spot = event("scale_in", 3.0, how="spot", share=0.2, x=2.0)
    yield Scenario("leaving", (grey("mute"), spot, event("release", 8.0, share=0.3, gap_s=0.8), answers))
    cut = event("core_cut", 2.0, count=site.losses, for_s=CUT_DURATION_S, how="leader race")
    shift = event("model_shift", 4.0, count=3, for_s=6.0)
    yield Scenario(
        "orders", (cut, shift, event("srv_cut", 1.0, share=0.3, for_s=8.0, how="one_way"), answers)
    )
    yield Scenario("slow-hang", (event("srv_slow", share=0.3, for_s=10.0), grey("hang", 0.2, 2.0), resets))


POINTS: dict[str, Callable[[Site], Iterator[Scenario]]] = {
    "1-cut-off": cut_off,
    "2-confirmations": confirmations,
    "3-second-losses": second_losses,
    "4-many-changes": many_changes,
    "5-calls": calls,
}

MIXED = "mixed"


def mixed(site: Site, listing: Listing, draw: Random) -> Scenario:
    """Draw two scenarios of different points for one day, the second a little after the first."""
    allowed = {
        point[0]: [allowed for each in scenarios(site) if (allowed := each.on(listing))]
        for point, scenarios in POINTS.items()
    }
    points = draw.sample([point for point, scenarios in allowed.items() if scenarios], 2)
    first, second = (draw.choice(allowed[point]) for point in points)
    later_s = round(draw.uniform(0.0, MAX_SECOND_START_S), 2)
    entries = [dict(entry) | {"at": round(entry["at"] + later_s, 2)} for entry in second.entries]
    name = f"{points[0]}-{first.name}+{points[1]}-{second.name}"
    return Scenario(name, (*first.entries, *entries), first.closing or second.closing)
