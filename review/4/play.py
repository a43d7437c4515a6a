"""One accepted job of many work items, and no job of any tenant is finished any
more."""
import asyncio, os, sys
from pathlib import Path
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "lib"))
from standins import HEARTBEAT_S, main, new_id, now

STEPS, COUNT = 27, 10000
FINISH_S = 14.0      # finish_s
IDLE_S = 3.0         # "for 3 s, a job has nothing running"


async def play(site, trouble):
    owner, other = site.owner()
    await asyncio.sleep(2 * HEARTBEAT_S)
    if trouble:
        body = site.job(500, gpu=1, count=COUNT)
        first = body["steps"][0]
        body["steps"] = [first] + [dict(first, after=[n]) for n in range(STEPS - 1)]
        status, _ = await site.ask(owner, "POST", "batch", new_id(), body)
        if status != 200:
            return ""
    await asyncio.sleep(1)
    jobs = []
    for n in range(6):
        job, queue = new_id(), ("extra", "urgent")[n % 2]
        status, _ = await site.ask(owner, "POST", queue, job, site.job(500, gpu=8), key="key-lahore")
        if status == 200:
            jobs.append((queue, job))
        await asyncio.sleep(0.2)
    await asyncio.sleep(FINISH_S)
    # From here on, jobs may not be left with nothing running for 3 s.
    stuck, until = {it for _, it in jobs}, now() + IDLE_S
    most = 0
    while now() < until:
        for worker in site.workers:
            for task in worker.runs:
                stuck.discard(task.split(".")[0])
        most = max(most, sum(it["gpu"] for worker in site.workers for it in worker.runs.values()))
        await asyncio.sleep(0.02)
    out = {}
    for queue, job in jobs:
        status, got = await site.ask(other, "GET", queue, job, key="key-lahore")
        out[job] = got.get("state") if status == 200 else status
    room = sum(it.gpus for it in site.workers)
    site.record(f"at most {most} of {room} accelerators were in use in these {IDLE_S} s")
    left = {job: state for job, state in out.items() if state != "completed" and job in stuck}
    if left and most < room / 2:
        return f"{len(left)} of {len(jobs)} jobs of another tenant had nothing running for {IDLE_S} s: {left}"
    return ""

if __name__ == "__main__":
    main(Path(__file__).resolve().parent, play, vms=2, workers=4)
