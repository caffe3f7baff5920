"""The outcomes of requests with an idempotency key that ran on this VM."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent
from gevent.event import AsyncResult
from returns.result import Failure, Result, Success

from lagoonlatch.callers.refusals import Refusal, RequestOutcome
from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis
from lagoonlatch.dispatch.request import Answer

OUTCOME_RETENTION: Millis = 25 * 3_600_000.0
ANSWER_RETENTION: Millis = 600_000.0
MAX_RECORDS = 50_000
MAX_STORED_ANSWER_BYTES = 16_000_000
FULL_TABLE_RETRY_AFTER: Millis = 60_000.0

Outcome = Result[Answer, Refusal]


@dataclass
class _Record:
    fingerprint: str
    started_at: Millis
    pending_outcome: AsyncResult | None = field(default_factory=AsyncResult)
    outcome: Outcome | None = None


class OutcomeTable:
    """Runs each key's request once and stores its outcome.

    A record is kept for `OUTCOME_RETENTION`. This is longer than a claim or an issued
    key is valid, so that a resent request does not run again on this VM. When
    the table is full, new keys are refused; records are never dropped early to make
    room. Answers are dropped before their records. A later request with the key is
    then refused with the detail that the request ran.
    """

    def __init__(self, clock: Clock, capacity: int = MAX_RECORDS) -> None:
        self._clock = clock
        self._capacity = capacity
        self._record_by_key: OrderedDict[str, _Record] = OrderedDict()
        self._answer_time_and_size_by_key: OrderedDict[str, tuple[Millis, int]] = (
            OrderedDict()
        )
        self._answer_bytes = 0

    def __len__(self) -> int:
        return len(self._record_by_key)

    def run_once(
        self,
        key: str,
        fingerprint: str,
        deadline: Millis,
        run: Callable[[], Outcome],
    ) -> Outcome:
        """Return the outcome of the key's only run, and start the run if needed.

        Parameters
        ----------
        key : str
            The organisation and the idempotency key.
        fingerprint : str
            A key that was used with another fingerprint is refused.
        deadline : Millis
            Time until which to wait for a run that another greenlet started.
        run : callable
            Runs the request, and continues if the greenlet that called `run_once` is
            killed.
        """
        self._expire()
        record = self._record_by_key.get(key)
        if record is None:
            return self._start_run(key, fingerprint, run)
        if record.fingerprint != fingerprint:
            return Failure(Refusal("idempotency-key-reused"))
        if record.outcome is not None:
            return record.outcome
        return self._wait_for_run(record, deadline)

    def _start_run(
        self, key: str, fingerprint: str, run: Callable[[], Outcome]
    ) -> Outcome:
        if len(self._record_by_key) >= self._capacity:
            detail = "the VM holds as many idempotency keys as it can"
            return Failure(Refusal("no-capacity", detail, FULL_TABLE_RETRY_AFTER))
        record = _Record(fingerprint, self._clock.now())
        self._record_by_key[key] = record
        # A separate greenlet runs the request, so that the outcome is recorded even
        # if the calling greenlet is killed.
        return gevent.spawn(self._run_and_record, key, record, run).get()

    def _run_and_record(
        self, key: str, record: _Record, run: Callable[[], Outcome]
    ) -> Outcome:
        outcome = run()
        pending_outcome = record.pending_outcome
        record.pending_outcome = None
        if _was_not_run(outcome):
            del self._record_by_key[key]
        else:
            record.outcome = outcome
            self._store_answer(key, outcome)
        pending_outcome.set(outcome)
        return outcome

    def _wait_for_run(self, record: _Record, deadline: Millis) -> Outcome:
        remaining = max(deadline - self._clock.now(), 0.0)
        try:
            return record.pending_outcome.get(timeout=remaining / MILLIS_PER_SECOND)
        except gevent.Timeout:
            detail = "an earlier request with this key still runs"
            return Failure(Refusal("in-progress", detail, MILLIS_PER_SECOND))

    def _store_answer(self, key: str, outcome: Outcome) -> None:
        if not isinstance(outcome, Success):
            return
        size = len(outcome.unwrap().body)
        self._answer_time_and_size_by_key[key] = (self._clock.now(), size)
        self._answer_bytes += size
        while self._answer_bytes > MAX_STORED_ANSWER_BYTES:
            self._drop_oldest_answer()

    def _drop_oldest_answer(self) -> None:
        key, (_, size) = self._answer_time_and_size_by_key.popitem(last=False)
        self._answer_bytes -= size
        detail = "the request ran; its answer is no longer kept"
        refusal = Refusal("idempotency-outcome-unknown", detail)
        self._record_by_key[key].outcome = Failure(refusal)

    def _expire(self) -> None:
        now = self._clock.now()
        while self._answer_time_and_size_by_key:
            stored_at, _ = next(iter(self._answer_time_and_size_by_key.values()))
            if now - stored_at < ANSWER_RETENTION:
                break
            self._drop_oldest_answer()
        while self._record_by_key:
            key, record = next(iter(self._record_by_key.items()))
            if record.pending_outcome or now - record.started_at < OUTCOME_RETENTION:
                break
            del self._record_by_key[key]


def _was_not_run(outcome: Outcome) -> bool:
    if isinstance(outcome, Success):
        return False
    return outcome.failure().outcome is RequestOutcome.NOT_RUN
