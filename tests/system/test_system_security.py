"""Tests secrets of hosts and operators, secret rotation and TLS."""

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

OLD_SECRET, NEW_SECRET = system_processes.SECRET, "the-secret-that-comes-next"
OPERATOR_KEY = "a-key-of-an-operator"
_TLS = pathlib.Path(__file__).parents[1] / "fixtures" / "tls"
_BROKEN_ENTRY = pathlib.Path(__file__).parent / "broken_entry.py"


def _alive_hosts(status: dict[str, Any]) -> set[str]:
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
        accepted = await system_strangers.attempt_calls(
            status["peer_address"], status["incarnation"], time.time
        )
        assertions.assert_that(accepted, matchers.Equals([]))

    variables = deployment.processes.variables
    variables["HOISTMOOR_SECRET"] = system_strangers.WRONG_SECRET
    outsider = await deployment.start_entry("entry-3")

    async def was_refused() -> bool:
        found = [_log_of(tmp_path, host.name) for host in hosts]
        return all("entry-3" in text for text in found)

    await system_processes.wait_until(was_refused, "both hosts refused entry-3")
    for host in hosts:
        status = await deployment.status(host)
        assertions.assert_that(
            _alive_hosts(status), matchers.Equals({"entry-1", "entry-2"})
        )
        assertions.assert_that(status["leaving_servers"], matchers.Equals([]))
    status = await deployment.status(outsider)
    assertions.assert_that(_alive_hosts(status), matchers.Equals({"entry-3"}))

    await deployment.processes.inject_fault(
        "platform", "outage", match="/streams"
    )
    caller = deployment.caller
    for host in hosts:  # They hold each other's bills, but none of entry-3.
        response = await caller.confirm(
            host, caller.make_mark(), await caller.request_ticket(host)
        )
        assert response is not None
        assertions.assert_that(response.reason, matchers.Equals(""))

    async def is_refusing() -> bool:
        response = await caller.chat(outsider, caller.make_mark())
        return response is not None and bool(response.reason)

    await system_processes.wait_until(is_refusing, "entry-3 refuses requests")
    await deployment.processes.clear_faults("platform")
    assertions.assert_that(await deployment.violations(), matchers.Equals(()))
    _assert_no_key_in_logs(tmp_path)


async def test_without_the_check_a_stranger_is_served(
    deployment: system_deployment.Deployment,
) -> None:
    """Shows that the preceding test detects a missing check."""
    deployment.entry_command = (
        sys.executable,
        str(_BROKEN_ENTRY),
        "peer_guard",
    )
    (host,) = await deployment.start(hosts=1)
    status = await deployment.status(host)
    accepted = await system_strangers.attempt_calls(
        status["peer_address"], status["incarnation"], time.time
    )
    assertions.assert_that(len(accepted), matchers.GreaterThan(5))


def _assert_no_key_in_logs(logs: pathlib.Path) -> None:
    keys = [OLD_SECRET, NEW_SECRET, system_strangers.WRONG_SECRET, OPERATOR_KEY]
    keys.append(system_table.api_key(system_table.ACCOUNT))
    for path in logs.glob("*.log"):
        text = path.read_text()
        for key in keys:
            assert key not in text, f"{path.name} contains a key"


# Rotation.


async def _chat(
    session: aiohttp.ClientSession,
    host: system_processes.Program,
    token: str = "",
    account: str = system_table.ACCOUNT,
) -> aiohttp.ClientResponse:
    headers = {"Authorization": f"Bearer {system_table.api_key(account)}"}
    if token:
        headers["X-Hoistmoor-Session"] = token
    body = {"model": "khao", "messages": [{"role": "user", "content": "q"}]}
    async with session.post(
        f"{host.url}/v1/chat/completions", json=body, headers=headers
    ) as response:
        await response.read()
        return response


async def _use_tokens_and_tickets(
    deployment: system_deployment.Deployment, hosts: Hosts
) -> None:
    """Uses session tokens and tickets of each host at each host."""
    session = deployment.processes.session
    caller = deployment.caller
    for issuer in hosts:
        first = await _chat(session, issuer)
        token = first.headers["X-Hoistmoor-Session"]
        for host in hosts:
            chat_response = await _chat(session, host, token)
            assertions.assert_that(chat_response.status, matchers.Equals(200))
            ticket = await caller.request_ticket(issuer)
            response = await caller.confirm(host, caller.make_mark(), ticket)
            assert response is not None
            assertions.assert_that(response.reason, matchers.Equals(""))


async def _restart(
    deployment: system_deployment.Deployment, name: str, secret: str
) -> None:
    """Restarts a host with other secrets."""
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
            status and _alive_hosts(status) == {"entry-1", "entry-2"}
            for status in statuses
        )

    await system_processes.wait_until(all_joined, f"{name} is a member again")


async def test_a_secret_is_changed_in_three_steps_with_nobody_refused(
    deployment: system_deployment.Deployment, tmp_path: pathlib.Path
) -> None:
    await deployment.start(hosts=2)
    for secret in (
        f"{OLD_SECRET},{NEW_SECRET}",
        f"{NEW_SECRET},{OLD_SECRET}",
        NEW_SECRET,
    ):
        for name in ("entry-1", "entry-2"):
            await _restart(deployment, name, secret)
            # Between the two restarts, the hosts have different secrets.
            hosts = [deployment.program(f"entry-{n}") for n in (1, 2)]
            await _use_tokens_and_tickets(deployment, hosts)
    for name in ("entry-1", "entry-2"):
        assert "Refused" not in _log_of(tmp_path, name)
    _assert_no_key_in_logs(tmp_path)


async def _grant_to_both(
    deployment: system_deployment.Deployment, host: system_processes.Program
) -> None:
    """Grants the model to both accounts, so that only the token differs."""
    table = deployment.table
    (grant,) = table.grants.values()
    other = attrs.evolve(grant, account=system_table.OTHER_ACCOUNT)
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
    own = await _chat(session, host, "", system_table.OTHER_ACCOUNT)
    assertions.assert_that(own.status, matchers.Equals(200))
    stolen = await _chat(session, host, token, system_table.OTHER_ACCOUNT)
    assertions.assert_that(stolen.status, matchers.Equals(400))
    caller = deployment.caller
    ticket = await caller.request_ticket(host)
    forged = ticket[:-2] + ("AA" if ticket[-2:] != "AA" else "BB")
    response = await caller.confirm(host, caller.make_mark(), forged)
    assert response is not None
    assertions.assert_that(response.reason, matchers.Equals("ticket_invalid"))
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
    caller_key = system_table.api_key(system_table.ACCOUNT)
    expected = {"": 401, caller_key: 401, known: 401, OPERATOR_KEY: 200}
    session = deployment.processes.session
    for key, status in expected.items():
        headers = {"Authorization": f"Bearer {key}"} if key else {}
        async with session.get(
            f"{host.url}/status", headers=headers
        ) as response:
            assertions.assert_that(response.status, matchers.Equals(status))
    for path in ("/healthz", "/peer-address"):  # Need no key.
        async with session.get(host.url + path) as response:
            assertions.assert_that(response.status, matchers.Equals(200))
    async with session.get(f"{host.url}/explain/entry-9.1.1") as response:
        assertions.assert_that(response.status, matchers.Equals(401))
    assert "open to all" in _log_of(tmp_path, "entry-1")
    assert "open to all" not in _log_of(tmp_path, "entry-9")
    _assert_no_key_in_logs(tmp_path)


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
            async with session.get(url, ssl=link.verify) as response:
                status = await response.json()
            if len(_alive_hosts(status)) < 2 or status["state"] != "ready":
                return False
        return True

    await system_processes.wait_until(all_joined, "both hosts are members")
    for path in ("status", "peer-address"):  # Plain HTTP is refused.
        assert await deployment.processes.get(f"{hosts[0].url}/{path}") is None
    headers = {
        "Authorization": f"Bearer {system_table.api_key(system_table.ACCOUNT)}"
    }
    url = link.url(hosts[0].address, "/v1/tickets")
    async with session.post(url, headers=headers, ssl=link.verify) as response:
        headers["Idempotency-Key"] = (await response.json())["ticket"]
    url = link.url(hosts[1].address, "/v1/services/counter/confirm")
    async with session.post(
        url, json={"id": "m1"}, headers=headers, ssl=link.verify
    ) as response:  # Forwarded to the issuer of the ticket.
        assertions.assert_that(response.status, matchers.Equals(200))


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
    expected = 2 if name == "host" else 1

    async def has_read_the_list() -> bool:
        async with session.get(url, ssl=link.verify) as response:
            status = await response.json()
        return (
            status["state"] == "ready" and len(_alive_hosts(status)) == expected
        )

    await system_processes.wait_until(
        has_read_the_list, f"{expected} hosts known"
    )


# Paused hosts.


async def test_a_host_that_was_paused_is_let_in_again(
    deployment: system_deployment.Deployment,
) -> None:
    hosts = await deployment.start(hosts=2)
    hosts[1].freeze()

    async def is_dead() -> bool:
        return "entry-2" not in _alive_hosts(await deployment.status(hosts[0]))

    await system_processes.wait_until(is_dead, "entry-2 is considered dead")
    hosts[1].thaw()

    async def are_both_alive() -> bool:
        return all(
            [
                len(_alive_hosts(await deployment.status(host))) == len(hosts)
                for host in hosts
            ]
        )

    await system_processes.wait_until(
        are_both_alive, "entry-2 is a member again"
    )
    await _use_tokens_and_tickets(deployment, hosts)
