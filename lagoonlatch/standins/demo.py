"""A demonstration: both deployments' shape on loopback, served under failures.

``python -m lagoonlatch.standins.demo`` starts a fleet for each deployment, applies
its configuration, sends look-ups, reads and bookings, kills one VM, withdraws one
key, and prints what was served and refused and why. It exits with 0 only if every
answer was right.
"""

from __future__ import annotations

import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import defopt
import xxhash

from lagoonlatch.clock import MILLIS_PER_SECOND, Millis
from lagoonlatch.config.codec import decode, encode
from lagoonlatch.standins.caller import Caller, Reply
from lagoonlatch.standins.fleet import CALLERS_PORT, LocalFleet
from lagoonlatch.standins.waiting import wait_until

EXAMPLES = Path("examples")
CALM: Millis = 1_500.0
AFTER_KILL: Millis = 3_000.0
AFTER_WITHDRAWAL: Millis = 1_500.0
PACE: Millis = 40.0
LIST_LAG: Millis = 1_000.0
LAST_SECONDS = 20
EVENTS_SHOWN = 12

# A key is refused from the moment its withdrawal is accepted, before the command
# that withdraws it returns.
_REFUSALS_ALLOWED = frozenset(
    {"rate-exceeded", "no-capacity", "limit-unavailable", "unknown-key"}
)


@dataclass(frozen=True)
class Deployment:
    """What the demonstration does with one deployment.

    Parameters
    ----------
    example : str
        File of the operators' program that prints the configuration.
    service, read, write : str
        The service called, and its paths.
    organisations : tuple of str
        Callers' organisations; the last one's key is withdrawn.
    victim : str
        The VM that is killed.
    """

    example: str
    service: str
    read: str
    write: str
    organisations: tuple[str, ...]
    victim: str


DEPLOYMENTS = (
    Deployment(
        "faixa_registo.py",
        "ledger",
        "/ranks/{}",
        "/promotions/{}",
        ("federation-norte", "dojo-aurora", "dojo-duna"),
        "sul-1-vm-1",
    ),
    Deployment(
        "habihan.py",
        "desk",
        "/slots/{}",
        "/bookings/{}",
        ("weavers-union", "shop-abel", "shop-hablon"),
        "visayas-1-vm-1",
    ),
)


@dataclass
class _Tally:
    """What one caller saw."""

    organisation: str
    counts: Counter[str] = field(default_factory=Counter)
    wrong: list[str] = field(default_factory=list)
    not_run: list[str] = field(default_factory=list)


@dataclass
class _Traffic:
    """Callers that send reads and bookings until told to stop."""

    deployment: Deployment
    vms: list[str]
    stopping: threading.Event = field(default_factory=threading.Event)
    withdrawn: threading.Event = field(default_factory=threading.Event)
    tallies: list[_Tally] = field(default_factory=list)
    threads: list[threading.Thread] = field(default_factory=list)

    def start(self) -> None:
        for organisation in self.deployment.organisations:
            tally = _Tally(organisation)
            self.tallies.append(tally)
            thread = threading.Thread(target=self._call, args=(tally,))
            self.threads.append(thread)
            thread.start()

    def stop(self) -> None:
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def _call(self, tally: _Tally) -> None:
        key = f"{tally.organisation}-example-key"
        caller = Caller(self.vms, self.deployment.service, key)
        number = 0
        while not self.stopping.is_set():
            withdrawn = self.withdrawn.is_set() and tally is self.tallies[-1]
            name = f"{tally.organisation}-{number}"
            self._read(caller, tally, name, withdrawn)
            if number % 4 == 0:
                self._write(caller, tally, name, withdrawn)
            number += 1
            time.sleep(PACE / MILLIS_PER_SECOND)

    def _read(self, caller: Caller, tally: _Tally, name: str, withdrawn: bool) -> None:
        path = self.deployment.read.format(name)
        reply = caller.request("GET", path, idempotent=True)
        _judge(tally, "read", path, b"", reply, withdrawn)

    def _write(self, caller: Caller, tally: _Tally, name: str, withdrawn: bool) -> None:
        path = self.deployment.write.format(name)
        body = name.encode()
        headers = {"Idempotency-Key": caller.issue_key()}
        reply = caller.request("POST", path, body, headers)
        if not reply.status and not reply.not_run:
            # No answer: the key makes it safe to ask again.
            reply = caller.request("POST", path, body, headers)
        _judge(tally, "booking", path, body, reply, withdrawn)


def _judge(
    tally: _Tally, kind: str, path: str, body: bytes, reply: Reply, withdrawn: bool
) -> None:
    outcome = "served" if reply.ok else reply.problem or f"status {reply.status}"
    tally.counts[f"{kind} {outcome}"] += 1
    if reply.not_run:
        tally.not_run.append(path)
    if reply.ok:
        if withdrawn:
            tally.wrong.append(f"{path}: served with a withdrawn key")
        if not _is_own_answer(reply, path, body):
            tally.wrong.append(f"{path}: not its own whole answer")
    elif withdrawn:
        if outcome != "unknown-key":
            tally.wrong.append(f"{path}: {outcome} with a withdrawn key")
    elif outcome not in _allowed(kind):
        tally.wrong.append(f"{path}: {outcome}")


def _allowed(kind: str) -> frozenset[str]:
    if kind == "booking":
        return _REFUSALS_ALLOWED | {"idempotency-outcome-unknown", "outcome-unknown"}
    return _REFUSALS_ALLOWED


def _is_own_answer(reply: Reply, path: str, body: bytes) -> bool:
    answer = reply.json()
    return answer["path"] == path and answer["body_digest"] == xxhash.xxh64_hexdigest(
        body
    )


class _Demo:
    """One deployment's demonstration."""

    def __init__(self, deployment: Deployment, vms: int, command: list[str]):
        self._deployment = deployment
        self._vms = vms
        self._command = command

    def run(self) -> bool:
        """Run it and print its tables; return whether every answer was right."""
        configuration = decode(self._print_configuration()).unwrap()
        fleet = LocalFleet.from_configuration(
            configuration,
            vms=self._vms,
            command=self._command,
            platform_switches={"list_lag": LIST_LAG},
        )
        print(f"== {self._deployment.example}: {self._vms} VMs, ", end="")
        print(f"{len(fleet.upstreams_by_id())} instances", flush=True)
        with fleet:
            traffic = self._serve(fleet)
            problems = self._check(fleet, traffic)
            self._print_tables(fleet, traffic, problems)
        return not problems

    def _print_configuration(self) -> bytes:
        program = EXAMPLES / self._deployment.example
        command = [sys.executable, str(program)]
        return subprocess.run(command, check=True, stdout=subprocess.PIPE).stdout

    def _serve(self, fleet: LocalFleet) -> _Traffic:
        self._apply(fleet)
        addresses = [plan.address for plan in fleet.vms_by_id.values()]
        vms = [f"{address}:{CALLERS_PORT}" for address in addresses]
        if not wait_until(lambda: self._is_ready(fleet, vms)):
            raise TimeoutError("the fleet does not serve")
        traffic = _Traffic(self._deployment, vms)
        traffic.start()
        _pause(CALM)
        fleet.kill(self._deployment.victim)
        left = [vm for vm in fleet.vms_by_id if vm != self._deployment.victim]
        fleet.list_vms(left)
        _pause(AFTER_KILL)
        self._withdraw(fleet)
        traffic.withdrawn.set()
        _pause(AFTER_WITHDRAWAL)
        traffic.stop()
        return traffic

    def _is_ready(self, fleet: LocalFleet, vms: list[str]) -> bool:
        key = f"{self._deployment.organisations[0]}-example-key"
        caller = Caller(vms, self._deployment.service, key)
        path = self._deployment.read.format("ready")
        return all(caller.request("GET", path, vm=vm).ok for vm in vms) and len(
            caller.look_up()
        ) >= min(len(vms), 2)

    def _apply(self, fleet: LocalFleet) -> None:
        with tempfile.NamedTemporaryFile(suffix=".json") as file:
            file.write(encode(fleet.configuration))
            file.flush()
            self._run("apply", file.name, "--platform", fleet.platform)

    def _withdraw(self, fleet: LocalFleet) -> None:
        organisation = self._deployment.organisations[-1]
        item = fleet.configuration.organisations_by_id[organisation]
        digest = item.key_digests[0]
        self._run("withdraw", organisation, digest, "--platform", fleet.platform)

    def _run(self, *arguments: str) -> None:
        print(f"$ lagoonlatch {arguments[0]}", flush=True)
        subprocess.run([*self._command, *arguments], check=True)

    def _check(self, fleet: LocalFleet, traffic: _Traffic) -> list[str]:
        problems = [text for tally in traffic.tallies for text in tally.wrong]
        runs = Counter(item["path"] for item in fleet.executions())
        written = self._deployment.write.format("")
        for path, count in runs.items():
            if path.startswith(written) and count > 1:
                problems.append(f"{path}: ran {count} times")
        for tally in traffic.tallies:
            problems += [
                f"{path}: refused as not run, but ran"
                for path in tally.not_run
                if runs[path]
            ]
        return problems

    def _print_tables(
        self, fleet: LocalFleet, traffic: _Traffic, problems: list[str]
    ) -> None:
        print(f"{'organisation':<20}{'outcome':<40}{'requests':>8}")
        for tally in traffic.tallies:
            for outcome, count in sorted(tally.counts.items()):
                print(f"{tally.organisation:<20}{outcome:<40}{count:>8}")
        print(f"end of the time line (last {EVENTS_SHOWN} events):", flush=True)
        found = subprocess.run(
            [*self._command, "events", "--platform", fleet.platform],
            stdout=subprocess.PIPE,
            text=True,
        )
        for line in found.stdout.splitlines()[-EVENTS_SHOWN:]:
            print(f"  {line}")
        print(f"wrong answers: {len(problems)}")
        for problem in problems:
            print(f"  {problem}", flush=True)


def demo(*, vms: int = 10, binary: str = "") -> int:
    """Show both deployments served under failures.

    Parameters
    ----------
    vms
        Number of VMs of each fleet.
    binary
        Path of the built binary; by default the module is run.
    """
    command = [binary] if binary else [sys.executable, "-m", "lagoonlatch"]
    results = [_Demo(item, vms, command).run() for item in DEPLOYMENTS]
    right = all(results)
    print("every answer was right" if right else "there were wrong answers")
    return 0 if right else 1


def _pause(duration: Millis) -> None:
    time.sleep(duration / MILLIS_PER_SECOND)


if __name__ == "__main__":
    sys.exit(defopt.run(demo))
