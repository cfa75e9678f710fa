"""A task that crashes its worker at one point of its work, and saves checkpoints, is started again without end."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "stand-2"))
from stand_ins import BROKEN, HELD, now, run_case  # noqa: E402

ENTRIES, AGENTS = 4, 4
WORK_S = 8.0
# Work after which the task crashes its worker, and the time until the worker is back.
CRASH_AT_S, BACK_AFTER_S = 5.0, 2.0
WATCHED_S = 50.0
# Crashes of workers under the task, and starts after them from which the rule is broken.
CRASHES, STARTS = 3, 3


async def play(deployment, has_trouble):
    job = f"{random.getrandbits(64):016x}"
    step = {
        "count": 1, "cpu": 500, "mem_mb": 64, "estimate_ms": int(WORK_S * 1_000), "checkpointing": True, "work_s": WORK_S,
    }
    if has_trouble:
        step.update(crash_at_s=CRASH_AT_S, back_after_s=BACK_AFTER_S)
    if await deployment.submit(deployment.entries[0], job, [step]) != 200:
        raise RuntimeError("the job wasn't accepted")
    began, state = now(), None
    while now() < began + WATCHED_S and state not in ("completed", "failed"):
        await asyncio.sleep(1.0)
        state = await deployment.state(deployment.entries[1], job)
    crashes = starts_after = 0
    for event in deployment.record.events:
        if event["kind"] == "worker_crashed" and any(task.startswith(job) for task, _ in event["runs"]):
            crashes += 1
        elif event["kind"] == "run_started" and crashes >= CRASHES:
            starts_after += 1
    print(f"state: {state}; crashes under the task: {crashes}; starts after the third: {starts_after}")
    return BROKEN if starts_after >= STARTS else HELD


run_case(FOLDER, play, ENTRIES, AGENTS)
