"""No schedule of faults lets a bucket admit more than rate * t + burst.

The derandomised profile serves CI. A longer search, whose seed is printed:

    SEED=7 EXAMPLES=1000 python -m pytest -s tests/properties/test_limits_overrun.py
"""

import os

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import seed as hypothesis_seed
from hypothesis import strategies as st

from tests.limits.scenarios import FAULT_KINDS, REGIONS, VMS, Fault, Scenario, overrun

TOLERANCE = 1e-6
EXAMPLES = int(os.environ.get("EXAMPLES", "25"))
SEED = os.environ.get("SEED")

faults = st.builds(
    Fault,
    kind=st.sampled_from(FAULT_KINDS),
    at=st.integers(0, 5_000).map(float),
    duration=st.integers(100, 4_000).map(float),
    target=st.integers(0, len(REGIONS) + len(VMS) - 1),
)
scenarios = st.builds(
    Scenario,
    seed=st.integers(0, 10_000),
    rate=st.sampled_from([2.0, 5.0, 20.0, 60.0]),
    burst=st.sampled_from([1, 2, 5, 20, 60]),
    load=st.sampled_from([0.7, 1.5, 5.0]),
    max_batch_size=st.sampled_from([1, 5, 20]),
    vms=st.lists(st.integers(0, len(VMS) - 1), min_size=1, max_size=9).map(tuple),
    jitter=st.sampled_from([0.0, 30.0, 400.0]),
    loss=st.sampled_from([0.0, 0.1, 0.4]),
    duplication=st.sampled_from([0.0, 0.3]),
    faults=st.lists(faults, max_size=4).map(tuple),
)


def check_never_overruns(scenario):
    assert overrun(scenario.run()) <= TOLERANCE


check_derandomised = settings(
    derandomize=True,
    max_examples=EXAMPLES,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)(given(scenarios)(check_never_overruns))


def test_leased_shards_never_overrun():
    if SEED is None:
        check_derandomised()
        return
    print(f"SEED={SEED} EXAMPLES={EXAMPLES}")
    searched = given(scenarios)(check_never_overruns)
    searched = settings(
        max_examples=EXAMPLES,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )(searched)
    hypothesis_seed(int(SEED))(searched)()


QUIET = {
    "seed": 3,
    "rate": 20.0,
    "burst": 20,
    "load": 5.0,
    "max_batch_size": 20,
    "vms": tuple(range(9)),
    "jitter": 0.0,
    "loss": 0.0,
    "duplication": 0.0,
}
OWNER_REPLACED = tuple(Fault("replace", 2_000.0, 300.0, target) for target in range(3))


@pytest.mark.parametrize(
    ("limiter", "faults"),
    [("optimistic-gossip", ()), ("central-bucket", OWNER_REPLACED)],
)
def test_check_catches_the_naive_limiter(limiter, faults):
    scenario = Scenario(**QUIET, faults=faults)
    assert overrun(scenario.run(limiter)) >= 1.0
    assert overrun(scenario.run()) <= TOLERANCE
