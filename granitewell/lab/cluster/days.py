"""What a day of a subject in the virtual cluster is, to whoever plays it.

It owns the terms alone. A subject's module gives a `Subject`; `subjects` lists them by name.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from granitewell.lab.cluster.chaos import Trouble
from granitewell.lab.cluster.world import Broken


@dataclass(frozen=True, slots=True)
class Case:
    """What is played.

    Attributes:
        size: Members, 0 for what the seed draws.
        plant: A planted defect's name, or empty.
        only: The numbers of the troubles that are done, all for None.
    """

    seed: int
    severity: float = 0.5
    size: int = 0
    plant: str = ""
    only: tuple[int, ...] | None = None

    def command(self, subject: str) -> str:
        """The one command that plays this again."""
        words = [f"granitewell lab cluster {subject} --seeds {self.seed} --severity {self.severity:g}"]
        words += [f"--size {self.size}"] if self.size else []
        words += [f"--plant {self.plant}"] if self.plant else []
        words += [f"--only {','.join(map(str, self.only)) or 'none'}"] if self.only is not None else []
        return " ".join(words)


@dataclass(frozen=True, slots=True)
class Outcome:
    """What came of it.

    Attributes:
        figures: Numbers of the day; a name that ends in `_max` is the worst of its kind, one in `_s` is a
            list of seconds, any other is summed over days.
        done: The troubles that were done.
    """

    broken: Broken | None
    digest: str
    day_s: float
    figures: Mapping[str, float | list[float]] = field(default_factory=dict)
    done: tuple[Trouble, ...] = ()


@dataclass(frozen=True, slots=True)
class Subject:
    """play: one day.

    Attributes:
        troubles: How many a day of that case has in all.
        plants: Planted defects and what each is.
    """

    play: Callable[[Case], Outcome]
    troubles: Callable[[Case], int]
    plants: Mapping[str, str]
