"""Health checks of suspect upstreams, with answers as the platform describes them."""

import gevent
import pytest

from lagoonlatch.clock import Clock
from lagoonlatch.entry.answer_memory import AnswerMemoryLimit
from lagoonlatch.entry.facts import Facts
from lagoonlatch.entry.probes import Prober
from lagoonlatch.steering.model import TrafficRules
from lagoonlatch.steering.upstreams import UpstreamTable
from tests.entry.scripted import (
    INVALID_STATUSES,
    ScriptedUpstream,
    reset_connection,
    send_answer,
)
from tests.steering.samples import make_record, make_service

HEALTHY = (
    b"HTTP/1.1 200 OK\r\nInstance-Id: i-1\r\nServer-Load: 3,0,8,100\r\n"
    b"Cold-Ms: 400\r\nContent-Length: 0\r\n\r\n"
)
FULL = (
    b"HTTP/1.1 503 Service Unavailable\r\nInstance-Id: i-1\r\nNot-Run: 1\r\n"
    b"Content-Length: 0\r\n\r\n"
)
OTHER = HEALTHY.replace(b"i-1", b"i-2")


class _Notices:
    """Accepts the notices of answers and does nothing with them."""

    def handle_answer(self, *_args, **_kwargs):
        pass


class _Check:
    """A suspect upstream whose health checks get the given answers."""

    def __init__(self, *steps):
        clock = Clock()
        self._server = ScriptedUpstream(*steps)
        table = UpstreamTable({"n-a": "n"}, clock)
        table.put(make_record("i-1", address=self._server.address), was_running=True)
        facts = Facts(table, clock)
        services_by_id = {"ledger": make_service()}
        facts.rules = TrafficRules(version=1, services_by_id=services_by_id)
        self.upstream = table.find("i-1")
        self.blamed = []
        prober = Prober(
            facts,
            AnswerMemoryLimit(1_000, clock),
            _Notices(),
            lambda _upstream: True,
            clock,
        )
        prober.suspect(self.upstream, "reset", lambda: self.blamed.append("r1"))

    def wait(self, seconds=2.0):
        """Wait until the upstream is trusted; return whether it is."""
        with gevent.Timeout(seconds, False):
            while self.upstream.is_suspect:
                gevent.sleep(0.01)
        self._server.stop()
        return not self.upstream.is_suspect


def test_an_upstream_is_used_again_after_a_health_answer_without_a_stamp():
    # Such answers counted as malformed, so that no upstream was ever trusted again.
    check = _Check(send_answer(HEALTHY, "end"))
    assert check.wait()
    assert 0.0 < check.upstream.cold_left() <= 400.0
    assert check.blamed == []


@pytest.mark.parametrize("status", INVALID_STATUSES)
def test_an_upstream_is_not_trusted_after_an_invalid_status(status):
    answer = HEALTHY.replace(b"200", status.encode())
    check = _Check(send_answer(answer, "end"))
    assert not check.wait(0.2)


@pytest.mark.parametrize("answer", [FULL, HEALTHY.replace(b"200", b"000")])
def test_a_request_is_not_blamed_for_an_upstream_that_rejects_the_check(answer):
    check = _Check(send_answer(answer, "end"), send_answer(HEALTHY, "end"))
    assert check.wait()
    assert check.blamed == []


@pytest.mark.parametrize(
    "step", [lambda sock, _request: reset_connection(sock), send_answer(OTHER, "end")]
)
def test_a_request_is_blamed_for_an_upstream_that_is_gone(step):
    check = _Check(step)
    assert not check.wait(0.2)
    assert check.blamed == ["r1"]
