"""The simulated deployment: its table, its engines and its traffic."""

from __future__ import annotations

import itertools
import math
import random
from typing import TYPE_CHECKING

import attrs

from hoistmoor.core import errors
from hoistmoor.core.table import model
from hoistmoor.core.table import sheets
from hoistmoor.load.experiment import clock as clock_lib
from hoistmoor.load.experiment import engine as engine_lib

if TYPE_CHECKING:
    import pathlib

# Concurrent calls of a plain server; small, so that it can be overloaded.
PLAIN_CAPACITY = 16
PLAIN_WORK_SECONDS = 0.16  # Median duration of a plain call.
_SECONDS_PER_TOKEN = 0.018  # Unbatched, at 3,600 micros per 1,000 tokens.
_PRICE_EXPONENT = 0.45  # More expensive versions are larger and slower.
_SESSION_FRACTION = 0.25
_SESSION_TURNS = 4
_MODEL_DEADLINE_SECONDS = 30.0
_PLAIN_DEADLINE_SECONDS = 5.0


@attrs.frozen
class RequestKind:
    """The distribution of requests of one kind.

    Attributes:
        fraction: Fraction of the model requests.
        log_odds_shift: Shift of the log odds of a good response; positive for
            easier requests.
        median_prompt: Median number of prompt tokens.
        median_output: Median number of generated tokens.
        is_urgent: Whether a person waits for the response.
    """

    fraction: float
    log_odds_shift: float
    median_prompt: int
    median_output: int
    is_urgent: bool


@attrs.frozen
class Deployment:
    """A table and the traffic on it.

    Attributes:
        name: Name in reports.
        table: The operators' table.
        kinds: Kinds of request by name.
        hosts: Number of entry hosts.
        model_rate: Mean model requests per second.
        plain_rate: Mean calls per second to the plain service.
    """

    name: str
    table: model.Table
    kinds: dict[str, RequestKind]
    hosts: int
    model_rate: float
    plain_rate: float

    @property
    def engine_service(self) -> str:
        """Name of the service of model engines."""
        return self._service_of_kind(model.ServiceKind.ENGINE)

    @property
    def plain_service(self) -> str:
        """Name of the plain service."""
        return self._service_of_kind(model.ServiceKind.PLAIN)

    def _service_of_kind(self, kind: model.ServiceKind) -> str:
        rows = self.table.services.values()
        return next(row.service for row in rows if row.kind is kind)


REQUEST_KINDS = {
    "taemsuk": {
        "ledger": RequestKind(0.3, -0.4, 900, 220, is_urgent=False),
        "question": RequestKind(0.5, 0.1, 250, 140, is_urgent=True),
        "receipt": RequestKind(0.2, 0.4, 400, 40, is_urgent=False),
    },
    "hafnarfjordur": {
        "schedule": RequestKind(0.25, -0.4, 1100, 260, is_urgent=False),
        "enquiry": RequestKind(0.55, 0.1, 250, 140, is_urgent=True),
        "summary": RequestKind(0.2, 0.3, 800, 120, is_urgent=False),
    },
}
# Model rate, plain rate and number of entry hosts.
TRAFFIC_RATES = {"taemsuk": (2.4, 3.0, 8), "hafnarfjordur": (1.2, 2.0, 8)}


def load(directory: pathlib.Path) -> Deployment:
    """Returns the deployment whose sheets are in ``directory``.

    Raises:
        ConfigurationError: The sheets have faults, or there is no traffic
            model for the deployment.
    """
    name = directory.name
    if name not in REQUEST_KINDS:
        raise errors.ConfigurationError(
            f"no traffic model for {name}",
            "Choose a directory named one of: "
            f"{', '.join(sorted(REQUEST_KINDS))}.",
        )
    files = {
        path.name: path.read_text(encoding="utf-8")
        for path in sorted(directory.glob("*.csv"))
    }
    result = sheets.parse_sheets(files)
    if result.faults:
        raise errors.ConfigurationError(
            f"{directory} has {len(result.faults)} faults",
            "Run hoistmoor table check on it.",
        )
    return from_table(name, result.table)


def from_table(name: str, table: model.Table) -> Deployment:
    """Returns the deployment ``name`` with its plain capacity reduced."""
    model_rate, plain_rate, hosts = TRAFFIC_RATES[name]
    plain = {
        row.service
        for row in table.services.values()
        if row.kind is model.ServiceKind.PLAIN
    }
    servers = {
        key: attrs.evolve(row, concurrency=PLAIN_CAPACITY)
        if row.service in plain
        else row
        for key, row in table.servers.items()
    }
    return Deployment(
        name,
        attrs.evolve(table, servers=servers),
        REQUEST_KINDS[name],
        hosts,
        model_rate,
        plain_rate,
    )


def make_engines(
    deployment: Deployment, clock: clock_lib.VirtualClock
) -> dict[str, engine_lib.SimulatedEngine]:
    """Returns a simulated engine for each backend server, versions loaded."""
    table = deployment.table
    loaded = _place_replicas(deployment)
    return {
        name: engine_lib.SimulatedEngine(
            name,
            clock,
            row.concurrency,
            loaded.get(name, ()),
            is_batching=name in loaded,
        )
        for name, row in table.servers.items()
    }


def _place_replicas(deployment: Deployment) -> dict[str, tuple[str, ...]]:
    names = [
        row.server
        for row in deployment.table.servers_by_service[
            deployment.engine_service
        ]
    ]
    loaded: dict[str, tuple[str, ...]] = dict.fromkeys(names, ())
    servers = itertools.cycle(names)
    for key, row in sorted(deployment.table.versions.items()):
        for _ in range(row.replicas):
            name = next(servers)
            loaded[name] = (*loaded[name], key)
    return loaded


def generation_seconds(row: model.Version, tokens: int) -> float:
    """Returns the seconds to generate ``tokens`` without batching."""
    relative_price = max(1, row.output_price) / 3600.0
    return (
        tokens * _SECONDS_PER_TOKEN * math.pow(relative_price, _PRICE_EXPONENT)
    )


@attrs.frozen
class Arrival:
    """One request of a caller; identical for all policies.

    Attributes:
        number: Number of the request, from 0.
        at: Time of arrival.
        host: Index of the entry host that receives it.
        account: Name of the client account.
        kind: Kind of request; empty for a plain call.
        difficulty: Difficulty, on the scale of the skills of versions.
        prompt_tokens: Number of prompt tokens.
        output_tokens: Number of tokens in a response.
        session: Session id; empty for none.
        prefix: Hashes of the prompt's blocks of tokens.
        deadline: Time at which the caller gives up.
        work_seconds: Service time of a plain call, in seconds.
    """

    number: int
    at: float
    host: int
    account: str
    kind: str
    difficulty: float
    prompt_tokens: int
    output_tokens: int
    session: str
    prefix: tuple[int, ...]
    deadline: float
    work_seconds: float = 0.0


def generate_arrivals(
    deployment: Deployment,
    length: float,
    load: float,
    seed: int,
    diurnal: bool,
) -> list[Arrival]:
    """Returns the requests of one run, in the order of arrival.

    Args:
        deployment: The deployment that receives them.
        length: Duration in seconds.
        load: Factor on the mean rates.
        seed: Random seed.
        diurnal: Whether the rate varies by half, as a sine over the run.
    """
    rng = random.Random(f"arrivals {deployment.name} {seed}")
    requests: list[Arrival] = []
    now = 0.0
    rate = (deployment.model_rate + deployment.plain_rate) * load
    plain_fraction = deployment.plain_rate / (
        deployment.model_rate + deployment.plain_rate
    )
    for number in itertools.count():
        # Thinning: samples at the peak rate, 1.5 times the mean, and drops
        # arrivals in excess of the current rate.
        now += rng.expovariate(rate * 1.5)
        if now > length:
            return requests
        variation = (
            0.5 * math.sin(2 * math.pi * now / length) if diurnal else 0.0
        )
        if rng.random() * 1.5 > 1.0 + variation:
            continue
        make = (
            _make_plain_arrival
            if rng.random() < plain_fraction
            else _make_model_arrival
        )
        requests.append(make(deployment, number, now, rng))
    return requests


def _make_plain_arrival(
    deployment: Deployment, number: int, now: float, rng: random.Random
) -> Arrival:
    return Arrival(
        number,
        now,
        rng.randrange(deployment.hosts),
        "",
        "",
        0.0,
        0,
        0,
        "",
        (),
        now + _PLAIN_DEADLINE_SECONDS,
        work_seconds=PLAIN_WORK_SECONDS * math.exp(rng.gauss(0.0, 0.3)),
    )


def _make_model_arrival(
    deployment: Deployment, number: int, now: float, rng: random.Random
) -> Arrival:
    accounts = list(deployment.table.accounts.values())
    account = rng.choices(accounts, [a.rate_limit for a in accounts])[0]
    kinds = list(deployment.kinds)
    fractions = [deployment.kinds[kind].fraction for kind in kinds]
    kind = rng.choices(kinds, fractions)[0]
    shape = deployment.kinds[kind]
    session = _draw_session(account.account, kind, now, rng)
    prompt = int(shape.median_prompt * math.exp(rng.gauss(0.0, 0.4))) + 16
    return Arrival(
        number,
        now,
        rng.randrange(deployment.hosts),
        account.account,
        kind,
        rng.gauss(0.0, 1.0),
        prompt,
        max(5, int(shape.median_output * math.exp(rng.gauss(0.0, 0.5)))),
        session,
        _block_hashes(account.account, kind, session, prompt),
        now + _MODEL_DEADLINE_SECONDS,
    )


def _draw_session(
    account: str, kind: str, now: float, rng: random.Random
) -> str:
    if rng.random() >= _SESSION_FRACTION:
        return ""
    # The turns of a session fall into one time window.
    window = 60.0 * _SESSION_TURNS
    return f"{account}/{kind}/{int(now // window)}/{rng.randrange(8)}"


def _block_hashes(
    account: str, kind: str, session: str, prompt: int
) -> tuple[int, ...]:
    """Returns the hashes of the prompt's blocks.

    The first half stands for the account's instructions, the rest for the
    history of the session.
    """
    blocks = prompt // engine_lib.BLOCK_TOKENS
    shared_blocks = blocks - blocks // 2
    shared = [
        stable_hash(f"{account}/{kind}/{i}") for i in range(shared_blocks)
    ]
    if not session:
        return tuple(shared)
    rest = [stable_hash(f"{session}/{i}") for i in range(blocks // 2)]
    return (*shared, *rest)


def stable_hash(text: str) -> int:
    """Returns a hash that is the same in all runs and processes."""
    return random.Random(text).getrandbits(62)
