"""After the placer's process is killed, its successor runs hundreds of tasks again that are done and taken note of."""

import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "stand-2"))
from stand_ins import BROKEN, HELD, now, run_case  # noqa: E402

ENTRIES, AGENTS = 4, 4
# Each round has a job of its own, which repeats: 30 times 50 tasks of 1.5 s.
ROUNDS, OCCURRENCES, TASKS, WORK_S, INTERVAL_MS = 4, 30, 50, 1.5, 250
# Ends taken note of, of that job, at which the placer is killed.
KILL_AT = 900
RESTART_AFTER_S = 0.5
ROUND_S = 24.0


def noted_done(deployment, job):
    """When the `done` end of each task was taken note of."""
    noted = {}
    for event in deployment.record.events:
        if event["kind"] == "end_noted" and event["how"] == "done" and event["task"].startswith(job):
            noted.setdefault(event["task"], event["s"])
    return noted


async def play_round(deployment, has_trouble):
    job = f"{random.getrandbits(64):016x}"
    step = {"count": TASKS, "cpu": 50, "mem_mb": 16, "estimate_ms": int(WORK_S * 1_000), "work_s": WORK_S}
    schedule = {"repeat_count": OCCURRENCES, "start_at_ms": int(time.time() * 1_000), "interval_ms": INTERVAL_MS}
    status = await deployment.submit(random.choice(deployment.entries), job, [step], **schedule)
    if status != 200:
        raise RuntimeError(f"the job wasn't accepted: {status}")
    began, is_killed, state = now(), not has_trouble, None
    while now() < began + ROUND_S and state != "completed":
        if not is_killed and len(noted_done(deployment, job)) >= KILL_AT:
            is_killed = True
            placer = await deployment.placer()
            if placer:
                deployment.record.add("killed", process=placer.name)
                await placer.kill()
                await asyncio.sleep(RESTART_AFTER_S)
                await placer.start()
        if is_killed and len(noted_done(deployment, job)) >= OCCURRENCES * TASKS:
            state = await deployment.state(random.choice(deployment.entries), job)
        await asyncio.sleep(0.05)
    noted = noted_done(deployment, job)
    starts = [event for event in deployment.record.events if event["kind"] == "run_started"]
    again = [event for event in starts if event["s"] > noted.get(event["task"], float("inf"))]
    print(f"job {job}: {len(noted)} tasks done and taken note of, starts after that: {len(again)}")
    return len(again)


async def play(deployment, has_trouble):
    again = [await play_round(deployment, has_trouble) for _ in range(ROUNDS)]
    return BROKEN if any(again) else HELD


run_case(FOLDER, play, ENTRIES, AGENTS)
