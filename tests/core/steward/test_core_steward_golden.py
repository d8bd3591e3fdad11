"""Compares a rollout that a takeover interrupts with a golden file.

Set ``HOISTMOOR_UPDATE_GOLDEN=1`` to rewrite the file after an intended change,
and review the difference.
"""

from __future__ import annotations

import os
import pathlib

import attrs
import steward_world as worlds

from hoistmoor.core import codec
from hoistmoor.core.steward import fold as fold_lib

GOLDEN = pathlib.Path(__file__).parent / "golden" / "interrupted_rollout.txt"
PASSES = 4  # Passes after each event; enough for the engines to converge.


@attrs.define
class Transcript:
    """A transcript of the log's records and the engines' state."""

    world: worlds.World
    lines: list[str] = attrs.field(factory=list)
    next_offset: int = 0
    fold: fold_lib.StewardFold = attrs.field(factory=fold_lib.StewardFold)

    def add_section(self, title: str) -> None:
        """Adds a section with the new records and the state of the engines."""
        self.lines.append(f"# {title}")
        for at, payload in self.world.log.entries[self.next_offset :]:
            record = codec.decode(payload)
            result = self.fold.apply(self.next_offset, at, record)
            self.lines.append(f"{self.next_offset} {at:g} {result}: {record}")
            self.next_offset += 1
        for name, engine in self.world.engines.items():
            condition = engine.condition
            loaded = ",".join(sorted(condition.loaded))
            token = condition.fencing
            self.lines.append(f"  {name}: {loaded} (fencing token {token})")

    def run_steward(self, index: int, passes: int = PASSES) -> None:
        """Runs one steward for some passes."""
        for _ in range(passes):
            self.world.now += 3.0
            self.world.run_duties(self.world.stewards[index])
            for engine in self.world.engines.values():
                engine.finish_loading()


def run_scenario() -> list[str]:
    """Returns the transcript of the whole scenario."""
    world = worlds.World()
    transcript = Transcript(world)
    for host in ("a", "b"):
        world.start(host)
    first = world.stewards[0]
    transcript.run_steward(0, passes=6)
    transcript.add_section("a is active and starts the rollout")

    world.rate(12, 0)
    world.deliver_all()
    world.read(first)
    world.decide_rollouts(first)
    world.decide_orders(first)
    late = world.in_flight
    world.in_flight = []
    transcript.add_section("a freezes after deciding on the next step")

    transcript.run_steward(1, passes=20)
    transcript.add_section("b takes over and makes the same step")

    world.in_flight = late
    world.deliver_all()
    fencing = first.actor.fencing or 0
    for name, engine in world.engines.items():
        accepted = engine.order(fencing, frozenset())
        transcript.lines.append(f"  late order to {name}: accepted {accepted}")
    transcript.add_section("the records and orders of a arrive late")

    transcript.run_steward(0, passes=1)
    transcript.run_steward(1, passes=10)
    transcript.add_section("a resumes as standby and b corrects the engines")

    for _ in range(4):
        world.rate(4, 0)
        world.deliver_all()
        transcript.run_steward(1)
    transcript.add_section("b completes the rollout")
    return transcript.lines


def test_interrupted_rollout_matches_golden_file() -> None:
    text = "\n".join(run_scenario()) + "\n"
    if os.environ.get("HOISTMOOR_UPDATE_GOLDEN"):
        GOLDEN.parent.mkdir(exist_ok=True)
        GOLDEN.write_text(text)
    assert text == GOLDEN.read_text()
