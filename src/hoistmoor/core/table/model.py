"""Row classes of the operators' table, and the immutable table itself.

Amounts of money are in micros (millionths of the deployment's currency unit),
times in seconds. Each row class defines one sheet; its ``key`` property is the
primary key within that sheet.
"""

from __future__ import annotations

import enum
from functools import cached_property

import attrs

ANY_VERSION = "*"
AUTO_MODEL = "auto"


class Stage(enum.StrEnum):
    """Lifecycle stage of a version."""

    CANDIDATE = "candidate"  # Traffic share grows only with evidence.
    ACTIVE = "active"
    DRAINING = "draining"  # Keeps its sessions, gets no new ones.
    WITHDRAWN = "withdrawn"  # Gets no new work.


class Priority(enum.StrEnum):
    """Scheduling priority of a call."""

    URGENT = "urgent"  # Such as confirmations, bookings, balance checks.
    NORMAL = "normal"
    DEFERRABLE = "deferrable"  # Such as reconciliation, summaries.


class ServiceKind(enum.StrEnum):
    """Type of a service's backend servers."""

    ENGINE = "engine"  # Inference engines.
    PLAIN = "plain"  # Ordinary HTTP services.


@attrs.frozen
class Account:
    """A client account.

    Attributes:
        account: Name of the client account.
        key_hashes: SHA-256 of each valid bearer key, in lower-case hex.
        spend_limit: Micros per UTC day; 0 allows no spending.
        rate_limit: Requests per second across all hosts.
        concurrency: Maximum number of requests in flight across all hosts.
    """

    account: str
    key_hashes: tuple[str, ...]
    spend_limit: int
    rate_limit: float
    concurrency: int

    @property
    def key(self) -> str:
        """Returns the primary key of the row."""
        return self.account


@attrs.frozen
class Version:
    """One version of one model.

    Attributes:
        model: Name of the model.
        version: Name of the version, unique within the model.
        service: Name of the engine service that serves it.
        stage: Lifecycle stage.
        weight: Traffic weight relative to the other versions of the model.
        input_price: Micros per 1,000 prompt tokens.
        output_price: Micros per 1,000 generated tokens.
        prior_quality: Prior expectation of the share of good responses.
        exposure_cap: Maximum number of responses that a candidate may give
            before they are rated.
        replicas: Number of backend servers that should have it loaded.
    """

    model: str
    version: str
    service: str
    stage: Stage
    weight: float
    input_price: int
    output_price: int
    prior_quality: float
    exposure_cap: int
    replicas: int

    @property
    def key(self) -> str:
        """Returns the primary key, also the name by which callers pin it."""
        return f"{self.model}@{self.version}"


@attrs.frozen
class Grant:
    """Permission of a client account to use a model, with a quality target.

    Attributes:
        account: Name of the client account.
        model: Name of a model.
        version: Name of a version, or ``*`` for all versions of the model.
        quality_target: Minimum share of good responses, for model ``auto``.
    """

    account: str
    model: str
    version: str
    quality_target: float

    @property
    def key(self) -> str:
        """Returns the primary key of the row."""
        return f"{self.account}/{self.model}@{self.version}"


@attrs.frozen
class Service:
    """A pool of backend servers.

    Attributes:
        service: Name of the service.
        kind: Type of its backend servers.
        timeout: Default timeout in seconds of calls without a deadline.
        accounts: Client accounts that may call a plain service; ``*`` allows
            all. Access to engine services is granted per version instead.
    """

    service: str
    kind: ServiceKind
    timeout: float
    accounts: tuple[str, ...]

    @property
    def key(self) -> str:
        """Returns the primary key of the row."""
        return self.service


@attrs.frozen
class Call:
    """A type of call to a plain service.

    Attributes:
        service: Name of the service.
        method: HTTP method in capitals.
        path: Path below the service; a segment ``*`` matches any one segment.
        idempotent: Whether the call may be retried.
        priority: Scheduling priority.
        price: Micros per completed call.
    """

    service: str
    method: str
    path: str
    idempotent: bool
    priority: Priority
    price: int

    @property
    def key(self) -> str:
        """Returns the primary key of the row."""
        return f"{self.service} {self.method} {self.path}"


@attrs.frozen
class Server:
    """A backend server.

    Attributes:
        server: Name of the backend server.
        service: Name of the service it belongs to.
        address: ``ip:port``.
        failure_domain: Name of the failure domain that it belongs to.
        concurrency: Maximum number of calls in flight.
        checks_fencing: Whether it refuses orders with a stale fencing token.
    """

    server: str
    service: str
    address: str
    failure_domain: str
    concurrency: int
    checks_fencing: bool

    @property
    def key(self) -> str:
        """Returns the primary key of the row."""
        return self.server


@attrs.frozen
class Limit:
    """A limit that applies to the whole deployment.

    Attributes:
        name: One of the names in ``limits.DEFINITIONS``.
        value: Value of the limit, in the unit that its name ends in, if any.
    """

    name: str
    value: float

    @property
    def key(self) -> str:
        """Returns the primary key of the row."""
        return self.name


Row = Account | Version | Grant | Service | Call | Server | Limit


@attrs.frozen(slots=False)
class Table:
    """An immutable table: the rows of all sheets by primary key.

    Attributes:
        accounts: Client accounts by key. The other attributes hold the rows
            of the other sheets in the same way.
    """

    accounts: dict[str, Account] = attrs.field(factory=dict)
    versions: dict[str, Version] = attrs.field(factory=dict)
    grants: dict[str, Grant] = attrs.field(factory=dict)
    services: dict[str, Service] = attrs.field(factory=dict)
    calls: dict[str, Call] = attrs.field(factory=dict)
    servers: dict[str, Server] = attrs.field(factory=dict)
    limits: dict[str, Limit] = attrs.field(factory=dict)

    @cached_property
    def account_by_key_hash(self) -> dict[str, Account]:
        """Client accounts by the SHA-256 of each of their bearer keys."""
        return {
            key_hash: account
            for account in self.accounts.values()
            for key_hash in account.key_hashes
        }

    @cached_property
    def versions_by_model(self) -> dict[str, tuple[Version, ...]]:
        """Versions of each model, sorted by key."""
        grouped: dict[str, list[Version]] = {}
        for key in sorted(self.versions):
            version = self.versions[key]
            grouped.setdefault(version.model, []).append(version)
        return {model: tuple(rows) for model, rows in grouped.items()}

    @cached_property
    def servers_by_service(self) -> dict[str, tuple[Server, ...]]:
        """Backend servers of each service, sorted by name."""
        grouped: dict[str, list[Server]] = {}
        for key in sorted(self.servers):
            server = self.servers[key]
            grouped.setdefault(server.service, []).append(server)
        return {service: tuple(rows) for service, rows in grouped.items()}

    def grant_for(self, account: str, version: Version) -> Grant | None:
        """Returns the grant of ``version`` to ``account``, if there is one.

        A grant of the exact version takes precedence over one of the whole
        model.
        """
        exact = f"{account}/{version.model}@{version.version}"
        all_versions = f"{account}/{version.model}@{ANY_VERSION}"
        return self.grants.get(exact) or self.grants.get(all_versions)

    def limit(self, name: str, default: float) -> float:
        """Returns the value of a limit, or ``default`` if it is not set."""
        row = self.limits.get(name)
        return row.value if row else default


@attrs.frozen
class ActiveTable:
    """The active table and its revision.

    Attributes:
        revision: Offset of the latest accepted edit; -1 before the first.
        table: The active table.
    """

    revision: int
    table: Table
