"""What fillers take from the serving tasks of a host, and the room that is left.

Load: dozens of steps wait, and each asks every host several times a round. What is
asked of a host is summed up once and kept until its runs change.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rattanwing.batch.hosts import Host
    from rattanwing.batch.model import StepSpec
    from rattanwing.batch.pressure import PressureModel

LASTING_USE_SHARE = 0.5
"""Share of what lasting tasks declare that they are taken to use, when the room
that they leave to fillers is reckoned; their use is not reported. Their loads swing
around half, not in step."""

PACED_AFTER_S = 2.0
"""From this age on a filler's use tells its pace: a start, half a second of the
figure and its report."""


class Sharing:
    """The sums of one host.

    :param taken: by serving image, the headroom that all fillers there take.
    :param room: thousandths of a core that fillers may yet declare.
    """

    __slots__ = ("taken", "room")

    def __init__(self, host: Host, pressures: PressureModel, now: float) -> None:
        runs = host.runs.values()
        fillers = [run for run in runs if run.task.step.fills]
        self.taken = {
            run.task.step.image: 0.0 for run in runs if run.task.step.target_ms > 0
        }
        paced = 0
        for run in fillers:
            step = run.task.step
            presses = False
            for image in self.taken:
                pressure = pressures.pressure(image, step.image, step.cpu)
                self.taken[image] += pressure
                presses = presses or pressure > 0
            idle = step.cpu - run.usage
            if presses and idle * 2 > step.cpu and now - run.placed_at >= PACED_AFTER_S:
                paced += idle
        unused = int(host.used_lasting_cpu * (1 - LASTING_USE_SHARE))
        left = host.free_cpu() + unused
        self.room = left + min(paced, left + host.used_fill_cpu)

    def pressed(
        self, step: StepSpec, pressures: PressureModel
    ) -> list[tuple[float, float]]:
        """Return what one more filler would take from each task that it presses on.

        :returns: the headroom that it takes itself, and that all take with it.
        """
        found = []
        for image, taken in self.taken.items():
            own = pressures.pressure(image, step.image, step.cpu)
            if own > 0:
                found.append((own, taken + own))
        return found


def sharing_of(host: Host, pressures: PressureModel, now: float) -> Sharing:
    """Return the sums of a host; what is paced down leaves its room to others, once."""
    if host.sharing is None:
        host.sharing = Sharing(host, pressures, now)
    return host.sharing
