"""Factories that build each stand-in's program from its flags."""

from __future__ import annotations

from typing import Protocol, TYPE_CHECKING, TypeVar

from hoistmoor.standins import engine as engine_module
from hoistmoor.standins import fault_registry
from hoistmoor.standins import hosts as hosts_module
from hoistmoor.standins import log as log_module
from hoistmoor.standins import options
from hoistmoor.standins import ratings as ratings_module
from hoistmoor.standins import runner
from hoistmoor.standins import service as service_module
from hoistmoor.standins import web_application
from hoistmoor.standins import weights as weights_module

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp import web as aiohttp_web

    from hoistmoor.standins import flags as flags_module

_Flags = TypeVar("_Flags")

_LINGER_SECONDS = 0.5  # See ``runner.Program.linger_seconds``.


def _make_log(
    flags: flags_module.LogFlags, book: fault_registry.FaultRegistry
) -> log_module.LogStandin:
    return log_module.LogStandin(
        book, flags.max_age, flags.max_records, flags.append_rate
    )


def _make_hosts(
    flags: flags_module.HostsFlags, book: fault_registry.FaultRegistry
) -> hosts_module.HostListStandin:
    rows = options.parse_hosts(flags.host)
    return hosts_module.HostListStandin(book, flags.hosts_lag, rows)


def _make_ratings(
    flags: flags_module.RatingsFlags, book: fault_registry.FaultRegistry
) -> ratings_module.RatingsStandin:
    return ratings_module.RatingsStandin(
        book, flags.rating_share, flags.rating_delay
    )


def _make_weights(
    flags: flags_module.WeightsFlags, book: fault_registry.FaultRegistry
) -> weights_module.WeightStoreStandin:
    del book  # The middleware injects all faults of the weight store.
    return weights_module.WeightStoreStandin(flags.weights_rate)


class _Service(Protocol):
    def add_routes(self, application: aiohttp_web.Application) -> None:
        """Registers the routes of a service."""


def _make_program(
    flags: _Flags,
    *makers: Callable[[_Flags, fault_registry.FaultRegistry], _Service],
) -> runner.Program:
    """Returns a program that serves platform services on one port.

    The services share a registry of faults.
    """
    book = fault_registry.FaultRegistry()
    application = web_application.make_application(book)
    for make in makers:
        make(flags, book).add_routes(application)
    return runner.Program(application)


def log(flags: flags_module.LogFlags) -> runner.Program:
    """Returns a program with the log service only."""
    return _make_program(flags, _make_log)


def hosts(flags: flags_module.HostsFlags) -> runner.Program:
    """Returns a program with the host list only."""
    return _make_program(flags, _make_hosts)


def ratings(flags: flags_module.RatingsFlags) -> runner.Program:
    """Returns a program with the rating service only."""
    return _make_program(flags, _make_ratings)


def weights(flags: flags_module.WeightsFlags) -> runner.Program:
    """Returns a program with the weight store only."""
    return _make_program(flags, _make_weights)


def platform(flags: flags_module.PlatformFlags) -> runner.Program:
    """Returns a program with all platform services on one port."""
    return _make_program(
        flags, _make_log, _make_hosts, _make_ratings, _make_weights
    )


def engine(settings: engine_module.EngineSettings) -> runner.Program:
    """Returns a program with a model engine."""
    book = fault_registry.FaultRegistry()
    application = web_application.make_application(book)
    standin = engine_module.EngineStandin(book, settings)
    standin.add_routes(application)
    return runner.Program(
        application,
        tasks=(standin.batch.run, standin.loader.run, standin.reports.run),
        stop=standin.stop,
        is_idle=lambda: not standin.in_flight,
        linger_seconds=_LINGER_SECONDS,
    )


def service(settings: service_module.ServiceSettings) -> runner.Program:
    """Returns a program with a plain service."""
    book = fault_registry.FaultRegistry()
    application = web_application.make_application(book)
    standin = service_module.ServiceStandin(book, settings)
    standin.add_routes(application)
    return runner.Program(
        application,
        tasks=(standin.reports.run,),
        stop=standin.stop,
        is_idle=lambda: standin.is_idle,
        linger_seconds=_LINGER_SECONDS,
    )
