"""The rules of leases against an adversary that picks every step.

Messages are dropped, doubled and delivered in any order at any time; tokens are spent
at the worst moment; owners are replaced; any node may stand still for any time.
A longer search: ``EXAMPLES=3000 python -m pytest tests/properties``.
"""

import os
from dataclasses import dataclass, replace

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from lagoonlatch.limits import pool
from lagoonlatch.limits.bucket import ShardBucket
from lagoonlatch.limits.grants import (
    MAX_LEASE_DURATION,
    GrantReply,
    GrantRequest,
    lender_lease_duration,
)
from lagoonlatch.limits.leases import HeldLease, HeldLeases
from lagoonlatch.limits.pool import ShardPool
from lagoonlatch.limits.spec import BucketSpec

TOLERANCE = 1e-6
SPEC = BucketSpec("tested", 8.0, 8, {"a": 1.0, "b": 1.0})
OWNERS = ("a", "b")
HOLDERS = ("x", "y")
NODES = OWNERS + HOLDERS
SPEED_BY_NODE = {"a": 1.0, "b": 1.0, "x": 0.991, "y": 1.009}

nodes = st.sampled_from(NODES)
owners = st.sampled_from(OWNERS)
amounts = st.sampled_from([0.5, 1.0, 2.0, 4.0, 8.0])
pauses = st.sampled_from([1.0, 20.0, 250.0, 500.0, 999.0, 1_004.0])
indices = st.integers(0, 30)


def settings_for(examples):
    return settings(
        derandomize=True,
        max_examples=examples,
        stateful_step_count=40,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )


@dataclass(frozen=True)
class Sent:
    """A message under way; `sent_at` counts on the asker's clock."""

    asker: str
    lender: str
    request: GrantRequest
    sent_at: float
    reply: GrantReply | None = None


class LeaseMachine(RuleBasedStateMachine):
    counted_from_receipt = False
    fills_at_once = False

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.request_id = 0
        self.under_way = []
        self.answered = set()
        self.holding_by_node = {node: HeldLeases() for node in HOLDERS}
        self.pool_by_owner = {}
        for owner in OWNERS:
            self.pool_by_owner[owner] = ShardPool(SPEC.share_of(owner), -10_000.0)
            self.holding_by_node[owner] = self.pool_by_owner[owner].held_leases
        self.reference = SPEC.burst
        self.reference_at = 0.0

    def clock(self, node):
        return self.now * SPEED_BY_NODE[node]

    @rule(duration=pauses)
    def advance(self, duration):
        self.now += duration

    @rule(asker=nodes, lender=owners, wanted=amounts)
    def ask(self, asker, lender, wanted):
        if asker == lender:
            return
        self.request_id += 1
        news = self.holding_by_node[asker].settlements_for(
            lender, lender, self.clock(asker)
        )
        request = GrantRequest(
            SPEC.id,
            lender,
            wanted,
            asker,
            1,
            self.request_id,
            between_regions=asker in OWNERS,
            settlements=news,
        )
        self.under_way.append(Sent(asker, lender, request, self.clock(asker)))

    @rule(index=indices, keep=st.booleans())
    def deliver(self, index, keep):
        if not self.under_way:
            return
        index %= len(self.under_way)
        message = self.under_way[index]
        if not keep:
            del self.under_way[index]
        if message.reply is None:
            self._serve(message)
        else:
            self._receive(message)

    @rule(index=indices)
    def drop(self, index):
        if self.under_way:
            del self.under_way[index % len(self.under_way)]

    @rule(node=nodes, tokens=amounts)
    def spend(self, node, tokens):
        now = self.clock(node)
        source = self._source(node)
        if source.spend(tokens, now):
            self._count(tokens)

    @rule(node=nodes)
    def spend_all(self, node):
        now = self.clock(node)
        source = self._source(node)
        tokens = source.available(now)
        if tokens > 0.0 and source.spend(tokens, now):
            self._count(tokens)

    @rule(node=nodes)
    def give_back(self, node):
        self.holding_by_node[node].close_idle(self.clock(node), 0.0)

    @rule(owner=owners)
    def replace_owner(self, owner):
        since = self.clock(owner)
        if not self.fills_at_once:
            since += lender_lease_duration(MAX_LEASE_DURATION)
        self.pool_by_owner[owner] = ShardPool(SPEC.share_of(owner), since)
        self.holding_by_node[owner] = self.pool_by_owner[owner].held_leases

    @rule(asker=nodes, lender=owners, wanted=amounts)
    def ask_and_receive(self, asker, lender, wanted):
        if asker != lender:
            self.ask(asker, lender, wanted)
            self.deliver(len(self.under_way) - 1, keep=False)
            self.deliver(len(self.under_way) - 1, keep=False)

    @invariant()
    def all_spent_now_would_not_overrun(self):
        """Every node might spend all it may, at this very instant."""
        spendable = sum(
            self._source(node).available(self.clock(node)) for node in NODES
        )
        allowed = self._refilled_reference()
        assert spendable <= allowed + TOLERANCE, (
            f"overrun by {spendable - allowed} tokens"
        )

    def _source(self, node):
        return self.pool_by_owner.get(node) or self.holding_by_node[node]

    def _refilled_reference(self):
        earned = SPEC.rate * (self.now - self.reference_at) / 1000.0
        return min(self.reference + earned, SPEC.burst)

    def _count(self, tokens):
        self.reference = self._refilled_reference() - tokens
        self.reference_at = self.now

    def _serve(self, message):
        lender, request = message.lender, message.request
        now = self.clock(lender)
        shard = self.pool_by_owner[lender]
        shard.apply_settlements(request, now)
        reply = shard.find_reply(request)
        if reply is None:
            granted = min(request.wanted, shard.lendable(now))
            reply = shard.lend(request, granted, now)
        self.under_way.append(replace(message, reply=reply))

    def _receive(self, message):
        """Take in a reply as `GrantCalls` does: the first one of each call."""
        if message.request.request_id in self.answered:
            return
        self.answered.add(message.request.request_id)
        held_leases = self.holding_by_node[message.asker]
        held_leases.acknowledge(message.request.settlements)
        now = self.clock(message.asker)
        start = now if self.counted_from_receipt else message.sent_at
        held_leases.add(
            HeldLease(
                message.lender,
                message.lender,
                message.request.request_id,
                message.reply.granted,
                ends_at=start + message.reply.duration,
                used_at=now,
            )
        )


def test_leases_never_create_tokens():
    examples = int(os.environ.get("EXAMPLES", "150"))
    run_state_machine_as_test(LeaseMachine, settings=settings_for(examples))


def hold_while_the_owner_refills(machine):
    machine.ask_and_receive("x", "a", 4.0)
    machine.advance(500.0)


def receive_late(machine):
    machine.ask("x", "a", 4.0)
    machine.deliver(0, keep=False)
    machine.advance(1_100.0)
    machine.deliver(0, keep=False)
    machine.advance(500.0)


def hold_while_the_owner_is_replaced(machine):
    machine.ask_and_receive("x", "a", 4.0)
    machine.replace_owner("a")
    machine.advance(500.0)


def hold_on_a_slow_clock(machine):
    machine.ask_and_receive("x", "a", 4.0)
    machine.advance(1_004.0)


def hold_what_the_owner_borrowed(machine):
    machine.ask_and_receive("a", "b", 4.0)
    machine.advance(500.0)
    machine.ask_and_receive("x", "a", 8.0)
    machine.advance(800.0)


def forget_outstanding(monkeypatch):
    monkeypatch.setattr(ShardBucket, "lend", ShardBucket.spend)
    monkeypatch.setattr(ShardBucket, "write_off", lambda *_arguments: None)


def count_from_receipt(monkeypatch):
    monkeypatch.setattr(LeaseMachine, "counted_from_receipt", True)


def fill_at_once(monkeypatch):
    monkeypatch.setattr(LeaseMachine, "fills_at_once", True)


def keep_no_margin(monkeypatch):
    monkeypatch.setattr(pool, "lender_lease_duration", lambda duration: duration)


def outlive_the_lease(monkeypatch):
    monkeypatch.setattr(HeldLease, "remaining", lambda *_arguments: MAX_LEASE_DURATION)


@pytest.mark.parametrize(
    ("schedule", "break_rule"),
    [
        (hold_while_the_owner_refills, forget_outstanding),
        (receive_late, count_from_receipt),
        (hold_while_the_owner_is_replaced, fill_at_once),
        (hold_on_a_slow_clock, keep_no_margin),
        (hold_what_the_owner_borrowed, outlive_the_lease),
    ],
)
def test_schedule_overruns_only_without_the_rule(schedule, break_rule, monkeypatch):
    sound = LeaseMachine()
    schedule(sound)
    sound.all_spent_now_would_not_overrun()
    break_rule(monkeypatch)
    broken = LeaseMachine()
    schedule(broken)
    with pytest.raises(AssertionError, match="overrun"):
        broken.all_spent_now_would_not_overrun()
