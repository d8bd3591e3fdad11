"""Command ``hoistmoor-standin``, with a subcommand for each stand-in."""

from __future__ import annotations

import functools
import sys

import attrs
import cappa

import hoistmoor
from hoistmoor.core import errors
from hoistmoor.standins import flags
from hoistmoor.standins import programs
from hoistmoor.standins import runner

_EXIT_BAD_SETTINGS = 2


@attrs.frozen(kw_only=True)
class Log(flags.LogFlags):
    """The platform's append-only log service."""

    def __call__(self) -> None:
        """Runs the stand-in until a signal stops it."""
        runner.run(functools.partial(programs.log, self), self.listen)


@attrs.frozen(kw_only=True)
class Hosts(flags.HostsFlags):
    """The platform's host list."""

    def __call__(self) -> None:
        """Runs the stand-in until a signal stops it."""
        runner.run(functools.partial(programs.hosts, self), self.listen)


@attrs.frozen(kw_only=True)
class Ratings(flags.RatingsFlags):
    """The platform's rating service."""

    def __call__(self) -> None:
        """Runs the stand-in until a signal stops it."""
        runner.run(functools.partial(programs.ratings, self), self.listen)


@attrs.frozen(kw_only=True)
class Weights(flags.WeightsFlags):
    """The platform's weight store."""

    def __call__(self) -> None:
        """Runs the stand-in until a signal stops it."""
        runner.run(functools.partial(programs.weights, self), self.listen)


@attrs.frozen(kw_only=True)
class Platform(flags.PlatformFlags):
    """Log service, host list, ratings and weight store on one port."""

    def __call__(self) -> None:
        """Runs the stand-in until a signal stops it."""
        runner.run(functools.partial(programs.platform, self), self.listen)


@attrs.frozen(kw_only=True)
class Engine(flags.EngineFlags):
    """A model engine with an OpenAI-compatible interface."""

    def __call__(self) -> None:
        """Runs the stand-in until a signal stops it."""
        settings = self.settings()
        runner.run(functools.partial(programs.engine, settings), self.listen)


@attrs.frozen(kw_only=True)
class Service(flags.ServiceFlags):
    """A plain service."""

    def __call__(self) -> None:
        """Runs the stand-in until a signal stops it."""
        settings = self.settings()
        runner.run(functools.partial(programs.service, settings), self.listen)


@cappa.command(name="hoistmoor-standin")
@attrs.frozen
class Standin:
    """Stand-ins for the platform and for backend servers, for tests."""

    command: cappa.Subcommands[
        Log | Hosts | Ratings | Weights | Platform | Engine | Service
    ]


def main(arguments: list[str] | None = None) -> int:
    """Runs a stand-in until it is stopped.

    Args:
        arguments: Command line arguments; None for those of this process.

    Returns:
        The exit code.
    """
    try:
        cappa.invoke(
            Standin,
            argv=sys.argv[1:] if arguments is None else arguments,
            version=hoistmoor.__version__,
            completion=False,
        )
    except errors.HoistmoorError as error:
        sys.stderr.write(f"hoistmoor-standin: {error}\n")
        return _EXIT_BAD_SETTINGS
    except OSError as error:
        sys.stderr.write(
            f"hoistmoor-standin: cannot listen: {error}. "
            "Choose another --listen.\n"
        )
        return _EXIT_BAD_SETTINGS
    return 0


if __name__ == "__main__":
    sys.exit(main())
