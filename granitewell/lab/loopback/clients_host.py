"""The process of clients and front: `python -m granitewell.lab.loopback.clients_host PLAN`.

It owns the front's look at each node's ready path, and carries the director's news of nodes to it. It must
never start a client's try by itself: the model does.

Orders: `node_up`, `node_stopping`, `node_down` (`name`), `cut` (`target`, `way`, `on`). News: `ready`
(`name`), `over` (once all is answered), and at the end `notes` and `late_us`.
"""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from pathlib import Path

from granitewell.lab.day_json import load_file
from granitewell.lab.emulator.front import Front
from granitewell.lab.loopback.client_traffic import ClientTraffic
from granitewell.lab.loopback.hostile_clients import HostileClients
from granitewell.lab.loopback.network_faults import NetworkFaults
from granitewell.lab.loopback.plan import NodePlace
from granitewell.lab.loopback.ready import until_ready
from granitewell.lab.loopback.standin import DirectorChannel, Words, main
from granitewell.lab.recording import Recorder

OVER_S = 0.1  # between two looks at whether all is over


class ClientsHost:
    """Clients, front, and those clients that break the protocol."""

    def __init__(self, channel: DirectorChannel) -> None:
        self._channel, plan = channel, channel.plan
        day = load_file(plan.day_file)
        self._agenda = channel.agenda
        self._recorder = Recorder(Path(plan.out, "seen-clients.jsonl"))
        self._front = Front(day)
        self._network_faults = NetworkFaults(day, "clients")
        self._notes: Counter[str] = Counter()
        self._places = {p.name: p for p in plan.nodes}
        self._client_traffic = ClientTraffic(
            day, channel.agenda, self._front, plan.nodes, self._network_faults, self._recorder, self._notes
        )
        self._hostile_clients = HostileClients(day, plan.nodes, plan.rude, self._notes)
        self._polls: dict[str, asyncio.Task[None]] = {}
        self._watch = asyncio.get_running_loop().create_task(self._until_over())

    def order(self, words: Words) -> None:
        """See the module's paragraph."""
        now, do = self._agenda.clock.now(), words["do"]
        if do == "node_up":
            place = self._places[words["name"]]
            self._front.node_up(now, place.name, place.zone)
            self._stop_poll(place.name)
            self._polls[place.name] = asyncio.get_running_loop().create_task(self._poll(place))
        elif do == "node_stopping":
            self._front.node_stopping(now, words["name"])
        elif do == "node_down":
            self._stop_poll(words["name"])
            self._front.node_down(now, words["name"])
        elif do == "cut":
            self._network_faults.cut(words["target"], words["way"], words["on"])
            self._client_traffic.look()

    def _stop_poll(self, name: str) -> None:
        task = self._polls.pop(name, None)
        if task is not None:
            task.cancel()

    async def _poll(self, place: NodePlace) -> None:
        await until_ready(place)
        now = self._agenda.clock.now()
        self._recorder.node_ready(now, place.name)
        self._front.node_ready(now, place.name)
        self._channel.say(ready=place.name)

    async def _until_over(self) -> None:
        while not (
            self._agenda.clock.now() and self._client_traffic.clients.over and not self._client_traffic.owed
        ):
            await asyncio.sleep(OVER_S)
        self._channel.say(over=True)

    def close(self) -> None:
        """The run is over."""
        for task in [self._watch, *self._polls.values()]:
            task.cancel()
        self._hostile_clients.close()
        self._client_traffic.close()
        self._recorder.close()
        self._channel.say(notes=dict(self._notes), late_us=self._agenda.lateness())


if __name__ == "__main__":
    sys.exit(main(ClientsHost))
