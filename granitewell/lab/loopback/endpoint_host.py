"""One process that hosts machines of endpoints.

`python -m granitewell.lab.loopback.endpoint_host PLAN PART PARTS`.

It owns the endpoints of its share (see `plan.share_out`) and carries the director's orders to them. It must
never decide when anything happens to an endpoint: the director plays the day's faults.

Orders: `start`, `drain`, `pause`, `resume`, `stop`, `vanish` (with `id`), `fall` (`id`, `condition`, `on`),
`cut` (`target`, `way`, `on`), `link` (`pairs`, `what`, `factor`, `on`). News: `bound` (addresses by
endpoint and node), `fell` (`id`), and at the end `notes` and `late_us`.
"""

from __future__ import annotations

import sys
from collections import Counter
from pathlib import Path
from typing import Any

from granitewell.lab.day import Day
from granitewell.lab.day_json import load_file
from granitewell.lab.emulator.types import Condition, ConditionChange, Order
from granitewell.lab.loopback.machine import Machine, Surroundings
from granitewell.lab.loopback.network_faults import NetworkFaults
from granitewell.lab.loopback.plan import share_out, stands_at
from granitewell.lab.loopback.standin import DirectorChannel, Words, main
from granitewell.lab.recording import Recorder

_ORDERS = {"drain": Order.DRAIN, "pause": Order.PAUSE, "resume": Order.RESUME}
_ENDS = {"stop": Order.STOP, "vanish": Order.VANISH}


class Host:
    """The machines of this process."""

    def __init__(self, channel: DirectorChannel, part: int, parts: int) -> None:
        self._channel, plan = channel, channel.plan
        day: Day = load_file(plan.day_file)
        self._recorder = Recorder(Path(plan.out, f"seen-endpoints-{part}.jsonl"))
        self._around = Surroundings(
            day, channel.agenda, NetworkFaults(day, f"endpoints-{part}"), self._recorder, plan.fields,
            plan.rough, Counter(),
        )  # fmt: skip
        self._machines: dict[str, Machine] = {}
        for k in share_out(day, parts)[part]:
            spec = day.endpoints[k]
            own = stands_at(day, spec) is spec  # else it gets its addresses from whom it takes over
            hosts = {n.name: plan.endpoint_host(k, j) for j, n in enumerate(plan.nodes) if own}
            machine = Machine(spec, self._around, hosts)
            machine.fallen = self._fallen(machine)  # type: ignore[method-assign]
            self._machines[machine.spec.id] = machine
            if machine.spec.started_us <= 0:
                machine.start()
        doors = {i: {n: d.address for n, d in m.doors.items()} for i, m in self._machines.items() if m.doors}
        channel.say(bound=doors)

    def _fallen(self, machine: Machine) -> Any:
        return lambda: self._channel.say(fell=machine.spec.id)

    def order(self, words: Words) -> None:
        """See the module's paragraph."""
        do = words["do"]
        if do == "cut":
            self._around.network_faults.cut(words["target"], words["way"], words["on"])
        elif do == "link":
            self._around.network_faults.link(words["pairs"], words["what"], words["factor"], words["on"])
        else:
            machine = self._machines.get(words["id"])
            if machine is not None:
                self._to(machine, do, words)
            return
        for machine in self._machines.values():
            machine.look()

    def _to(self, machine: Machine, do: str, words: Words) -> None:
        if do == "start":
            old = self._machines.get(machine.spec.takes_over)
            if old is not None and not machine.doors:
                machine.take_doors(old)
            machine.start()
        elif do in _ENDS:
            machine.end(_ENDS[do])
        elif do == "fall":
            raw: dict[str, Any] = words["condition"]
            condition = Condition(**{k: tuple(v) if isinstance(v, list) else v for k, v in raw.items()})
            machine.fall(ConditionChange(condition, words["on"]))
        else:
            machine.order(_ORDERS[do])

    def close(self) -> None:
        """The run is over."""
        for machine in self._machines.values():
            machine.close()
        self._recorder.close()
        self._channel.say(notes=dict(self._around.notes), late_us=self._channel.agenda.lateness())


if __name__ == "__main__":
    sys.exit(main(lambda channel: Host(channel, int(sys.argv[2]), int(sys.argv[3]))))
