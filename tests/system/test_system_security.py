"""Hosts without the secret stay outside; secrets change with nobody refused."""

from __future__ import annotations

import hashlib
import pathlib
import sys
import time
from typing import Any, TYPE_CHECKING

import attrs
import pytest
import system_processes
import system_strangers
import system_table
from testtools import assertions
from testtools import matchers

from hoistmoor.utils import tls

if TYPE_CHECKING:
    import aiohttp
    import system_deployment

    Hosts = list[system_processes.Program]

OLD, NEW = system_processes.SECRET, "the-secret-that-comes-next"
OPERATOR_KEY = "a-key-of-an-operator"
_TLS = pathlib.Path(__file__).parents[1] / "fixtures" / "tls"
_BROKEN = pathlib.Path(__file__).parent / "broken_entry.py"


def _alive(status: dict[str, Any]) -> set[str]:
    return {
        host["host"] for host in status["hosts"] if host["state"] == "alive"
    }


def _log_of(logs: pathlib.Path, name: str) -> str:
    return (logs / f"{name}.log").read_text()


async def test_a_host_with_a_wrong_secret_stays_outside(
    deployment: system_deployment.Deployment, tmp_path: pathlib.Path
) -> None:
    hosts = await deployment.start(hosts=2)
    statuses = [await deployment.status(host) for host in hosts]
    for status in statuses:
        taken = await system_strangers.try_all(
            status["peer_address"], status["incarnation"], time.time
        )
        assertions.assert_that(taken, matchers.Equals([]))

    variables = deployment.processes.variables
    variables["HOISTMOOR_SECRET"] = system_strangers.SECRET
    outsider = await deployment.start_entry("entry-3")

    async def was_refused() -> bool:
        found = [_log_of(tmp_path, host.name) for host in hosts]
        return all("entry-3" in text for text in found)

    await system_processes.wait_until(was_refused, "both hosts refused entry-3")
    for host in hosts:
        status = await deployment.status(host)
        assertions.assert_that(
            _alive(status), matchers.Equals({"entry-1", "entry-2"})
        )
        assertions.assert_that(status["leaving_servers"], matchers.Equals([]))
    status = await deployment.status(outsider)
    assertions.assert_that(_alive(status), matchers.Equals({"entry-3"}))

    await deployment.processes.inject_fault(
        "platform", "outage", match="/streams"
    )
    caller = deployment.caller
    for host in hosts:  # Each holds the other's bills; nobody the outsider's.
        told = await caller.confirm(
            host, caller.mark(), await caller.ticket(host)
        )
        assert told is not None
        assertions.assert_that(told.reason, matchers.Equals(""))

    async def is_refusing() -> bool:
        told = await caller.chat(outsider, caller.mark())
        return told is not None and bool(told.reason)

    await system_processes.wait_until(is_refusing, "entry-3 takes no work")
    await deployment.processes.clear_faults("platform")
    assertions.assert_that(await deployment.violations(), matchers.Equals(()))
    _check_no_key_in(tmp_path)


async def test_without_the_check_a_stranger_is_served(
    deployment: system_deployment.Deployment,
) -> None:
    """Shows that the proof above catches a missing check."""
    deployment.entry_words = (sys.executable, str(_BROKEN), "peer_guard")
    (host,) = await deployment.start(hosts=1)
    status = await deployment.status(host)
    taken = await system_strangers.try_all(
        status["peer_address"], status["incarnation"], time.time
    )
    assertions.assert_that(len(taken), matchers.GreaterThan(5))


def _check_no_key_in(logs: pathlib.Path) -> None:
    keys = [OLD, NEW, system_strangers.SECRET, OPERATOR_KEY]
    keys.append(system_table.bearer(system_table.ACCOUNT))
    for path in logs.glob("*.log"):
        text = path.read_text()
        for key in keys:
            assert key not in text, f"{path.name} has a key in it"


# Rotation.


async def _chat(
    session: aiohttp.ClientSession,
    host: system_processes.Program,
    token: str = "",
    account: str = system_table.ACCOUNT,
) -> aiohttp.ClientResponse:
    headers = {"Authorization": f"Bearer {system_table.bearer(account)}"}
    if token:
        headers["X-Hoistmoor-Session"] = token
    body = {"model": "khao", "messages": [{"role": "user", "content": "q"}]}
    async with session.post(
        f"{host.url}/v1/chat/completions", json=body, headers=headers
    ) as answer:
        await answer.read()
        return answer


async def _use_all(
    deployment: system_deployment.Deployment, hosts: Hosts
) -> None:
    """Uses tokens and tickets of each host at each host."""
    session = deployment.processes.session
    caller = deployment.caller
    for issuer in hosts:
        first = await _chat(session, issuer)
        token = first.headers["X-Hoistmoor-Session"]
        for host in hosts:
            answer = await _chat(session, host, token)
            assertions.assert_that(answer.status, matchers.Equals(200))
            ticket = await caller.ticket(issuer)
            told = await caller.confirm(host, caller.mark(), ticket)
            assert told is not None
            assertions.assert_that(told.reason, matchers.Equals(""))


async def _replace(
    deployment: system_deployment.Deployment, name: str, secret: str
) -> None:
    """Restarts a host with another list of secrets."""
    old = deployment.program(name)
    await deployment.stop(old)
    await old.exit_code()
    deployment.processes.variables["HOISTMOOR_SECRET"] = secret
    new = await deployment.start_entry(name)
    await deployment.await_ready(new)

    async def all_joined() -> bool:
        hosts = [deployment.program(f"entry-{n}") for n in (1, 2)]
        statuses = [await deployment.status(host) for host in hosts]
        return all(
            status and _alive(status) == {"entry-1", "entry-2"}
            for status in statuses
        )

    await system_processes.wait_until(all_joined, f"{name} is back")


async def test_a_secret_is_changed_in_three_steps_with_nobody_refused(
    deployment: system_deployment.Deployment, tmp_path: pathlib.Path
) -> None:
    await deployment.start(hosts=2)
    for secret in (f"{OLD},{NEW}", f"{NEW},{OLD}", NEW):
        for name in ("entry-1", "entry-2"):
            await _replace(deployment, name, secret)
            # After entry-1 one host is a step ahead of the other.
            hosts = [deployment.program(f"entry-{n}") for n in (1, 2)]
            await _use_all(deployment, hosts)
    for name in ("entry-1", "entry-2"):
        assert "Refused" not in _log_of(tmp_path, name)
    _check_no_key_in(tmp_path)


async def _grant_to_both(
    deployment: system_deployment.Deployment, host: system_processes.Program
) -> None:
    """Lets both accounts use the model, so that only the token differs."""
    table = deployment.table
    (grant,) = table.grants.values()
    other = attrs.evolve(grant, account=system_table.OTHER)
    grants = {**table.grants, other.key: other}
    revision = await deployment.publish(attrs.evolve(table, grants=grants))
    await deployment.await_revision(revision, host)


async def test_what_others_own_or_forged_is_refused(
    deployment: system_deployment.Deployment,
) -> None:
    (host,) = await deployment.start(hosts=1)
    session = deployment.processes.session
    await _grant_to_both(deployment, host)
    token = (await _chat(session, host)).headers["X-Hoistmoor-Session"]
    own = await _chat(session, host, "", system_table.OTHER)
    assertions.assert_that(own.status, matchers.Equals(200))
    stolen = await _chat(session, host, token, system_table.OTHER)
    assertions.assert_that(stolen.status, matchers.Equals(400))
    caller = deployment.caller
    ticket = await caller.ticket(host)
    forged = ticket[:-2] + ("AA" if ticket[-2:] != "AA" else "BB")
    told = await caller.confirm(host, caller.mark(), forged)
    assert told is not None
    assertions.assert_that(told.reason, matchers.Equals("ticket_invalid"))
    assertions.assert_that(await deployment.violations(), matchers.Equals(()))


# Operators.


async def test_operators_paths_need_a_key_once_one_is_set(
    deployment: system_deployment.Deployment, tmp_path: pathlib.Path
) -> None:
    await deployment.start(hosts=1)
    known = hashlib.sha256(OPERATOR_KEY.encode()).hexdigest()
    deployment.processes.variables["HOISTMOOR_OPERATOR_KEYS"] = known
    deployment.entry_flags["entry-9"] = ("--log-level", "info")
    host = await deployment.start_entry("entry-9")
    caller_key = system_table.bearer(system_table.ACCOUNT)
    wanted = {"": 401, caller_key: 401, known: 401, OPERATOR_KEY: 200}
    session = deployment.processes.session
    for key, status in wanted.items():
        headers = {"Authorization": f"Bearer {key}"} if key else {}
        async with session.get(f"{host.url}/status", headers=headers) as told:
            assertions.assert_that(told.status, matchers.Equals(status))
    for path in ("/healthz", "/peer-address"):  # Open to all.
        async with session.get(host.url + path) as told:
            assertions.assert_that(told.status, matchers.Equals(200))
    async with session.get(f"{host.url}/explain/entry-9.1.1") as told:
        assertions.assert_that(told.status, matchers.Equals(401))
    assert "open to all" in _log_of(tmp_path, "entry-1")
    assert "open to all" not in _log_of(tmp_path, "entry-9")
    _check_no_key_in(tmp_path)


# TLS.


async def test_hosts_find_each_other_and_serve_over_tls(
    deployment: system_deployment.Deployment,
) -> None:
    await deployment.start(hosts=0)
    deployment.processes.variables.update(
        HOISTMOOR_TLS_CERTIFICATE=str(_TLS / "host.crt"),
        HOISTMOOR_TLS_KEY=str(_TLS / "host.key"),
        HOISTMOOR_TLS_CA=str(_TLS / "ca.crt"),
    )
    hosts = [await deployment.start_entry(f"entry-{n}") for n in (1, 2)]
    link = tls.make_link(str(_TLS / "ca.crt"))
    session = deployment.processes.session

    async def all_joined() -> bool:
        for host in hosts:
            url = link.url(host.address, "/status")
            async with session.get(url, ssl=link.verify) as answer:
                status = await answer.json()
            if len(_alive(status)) < 2 or status["state"] != "ready":
                return False
        return True

    await system_processes.wait_until(all_joined, "both hosts know each other")
    for path in ("status", "peer-address"):  # No plain connections.
        assert await deployment.processes.get(f"{hosts[0].url}/{path}") is None
    headers = {
        "Authorization": f"Bearer {system_table.bearer(system_table.ACCOUNT)}"
    }
    url = link.url(hosts[0].address, "/v1/tickets")
    async with session.post(url, headers=headers, ssl=link.verify) as answer:
        headers["Idempotency-Key"] = (await answer.json())["ticket"]
    url = link.url(hosts[1].address, "/v1/services/counter/confirm")
    async with session.post(
        url, json={"id": "m1"}, headers=headers, ssl=link.verify
    ) as answer:  # Forwarded to its issuer.
        assertions.assert_that(answer.status, matchers.Equals(200))


@pytest.mark.parametrize("name", ["host", "stranger"])
async def test_a_certificate_of_another_authority_is_not_let_in(
    deployment: system_deployment.Deployment, name: str
) -> None:
    await deployment.start(hosts=0)
    variables = deployment.processes.variables
    variables["HOISTMOOR_TLS_CA"] = str(_TLS / "ca.crt")
    for number, certificate in ((1, "host"), (2, name)):
        variables["HOISTMOOR_TLS_CERTIFICATE"] = str(
            _TLS / f"{certificate}.crt"
        )
        variables["HOISTMOOR_TLS_KEY"] = str(_TLS / f"{certificate}.key")
        await deployment.start_entry(f"entry-{number}")
    link = tls.make_link(str(_TLS / "ca.crt"))
    url = link.url(deployment.program("entry-1").address, "/status")
    session = deployment.processes.session
    wanted = 2 if name == "host" else 1

    async def has_read_the_list() -> bool:
        async with session.get(url, ssl=link.verify) as answer:
            status = await answer.json()
        return status["state"] == "ready" and len(_alive(status)) == wanted

    await system_processes.wait_until(
        has_read_the_list, f"{wanted} hosts known"
    )


# A paused host.


async def test_a_host_that_was_paused_is_let_in_again(
    deployment: system_deployment.Deployment,
) -> None:
    hosts = await deployment.start(hosts=2)
    hosts[1].freeze()

    async def is_dead() -> bool:
        return "entry-2" not in _alive(await deployment.status(hosts[0]))

    await system_processes.wait_until(is_dead, "entry-2 is missed")
    hosts[1].thaw()

    async def are_both_alive() -> bool:
        return all(
            [
                len(_alive(await deployment.status(host))) == len(hosts)
                for host in hosts
            ]
        )

    await system_processes.wait_until(are_both_alive, "entry-2 is back")
    await _use_all(deployment, hosts)
