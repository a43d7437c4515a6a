"""Only gangs are sent. One worker fails all that it starts for 6.5 s, then it is sound again."""
import asyncio
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib-2"))
from site2 import CouldNotRun, now, play  # noqa: E402

GREY_S = 6.5          # largest length of the site
FINISH_S = 14         # bound of the site
STILL_S = 3           # the rule's span with nothing running


def gang(**more):
    return [{"count": 2, "cpu": 1000, "requested_memory_mb": 100, "gpu": 2, "estimated_ms": 800, "gang": True,
             "real_s": 0.8, **more}]


def prepare(site):
    site.fleet.workers[0].kind = "b"   # 1 of 12: a share of 0.083


async def scenario(site, trouble):
    special = site.fleet.workers[0]
    jobs = []

    async def send(span, **more):
        end = now() + span
        while now() < end:
            work, accepted = await site.submit("batch", gang(**more))
            jobs.append((now(), more.get("requirements", ""), work, accepted))
            await asyncio.sleep(0.7)

    await asyncio.sleep(2)
    traffic = [asyncio.create_task(send(22, requirements="b")), asyncio.create_task(send(22))]
    await asyncio.sleep(6)
    special.fails_all = trouble
    site.note(f"worker {special.id}, the only one of kind b, fails all that it starts: {trouble}")
    await asyncio.sleep(GREY_S)
    special.fails_all = False
    site.note(f"worker {special.id} is sound again")
    sound = now()
    for it in traffic:
        await it
    site.note("the traffic ends")
    await asyncio.sleep(FINISH_S)
    begun, still_since = len(site.fleet.starts), now()
    while now() < still_since + STILL_S + 1:
        await asyncio.sleep(0.1)
    running = sum(len(it.runs) for it in site.fleet.workers)
    idle = begun == len(site.fleet.starts) and running == 0
    open_jobs, last = [], 0
    for at, label, work, accepted in jobs:
        state = await site.state("batch", work)
        if accepted and state in ("queued", "running"):
            open_jobs.append((at, label, work, state))
    after = sum(1 for at, label, work, accepted in jobs if label == "b" and at > sound and accepted)
    site.note(f"{len(jobs)} jobs, {len(open_jobs)} have not ended: "
              f"{sum(it[1] == 'b' for it in open_jobs)} of those that require kind b, "
              f"{sum(it[0] > sound for it in open_jobs)} sent after the worker was sound again (of {after}); "
              f"{running} runs on all workers; free on {special.id}: {special.free()}")
    if not open_jobs:
        return None
    if not idle:
        raise CouldNotRun("work still runs")
    return (f"{len(open_jobs)} accepted jobs wait with all workers idle, "
            f"{sum(it[0] > sound for it in open_jobs)} of them sent after the disturbance")


play(CASE, scenario, prepare=prepare)
