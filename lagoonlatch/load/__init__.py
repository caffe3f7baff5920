"""Open-loop load on a running fleet, and what came of it.

Requests are sent when they are due, whether or not earlier ones were answered, and
waiting counts from then; a slow fleet therefore can't slow down its own measurement.
"""

from lagoonlatch.load.generator import run_load
from lagoonlatch.load.plan import LoadPlan, Stream
from lagoonlatch.load.recorder import Recorder, Sample

__all__ = ["LoadPlan", "Recorder", "Sample", "Stream", "run_load"]
