"""A lasting job runs on each worker; two large gangs come that do not fit beside it; then small jobs come."""
import asyncio
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib-2"))
from site2 import CouldNotRun, now, play  # noqa: E402

FINISH_S = 14         # bound of the site
STILL_S = 3           # the rule's span with nothing running
BASE = {"cpu": 1000, "requested_memory_mb": 100}


async def scenario(site, trouble):
    workers = site.fleet.workers
    _, accepted = await site.submit(
        "batch", [{**BASE, "count": len(workers), "gpu": 3, "anti_affinity": 1, "estimated_ms": 1000,
                   "real_s": 10000}], long_running=True)
    await asyncio.sleep(4)
    if not accepted or len(site.fleet.starts) < len(workers):
        raise CouldNotRun("the lasting job is not at work")
    site.note(f"a work item that lasts is at work on each of {len(workers)} workers, with 3 of 8 GPUs")
    if trouble:
        for _ in range(2):
            await site.submit("batch", [{**BASE, "count": 6, "gpu": 8, "gang": True, "estimated_ms": 8000,
                                         "real_s": 8}])
    await asyncio.sleep(8)
    jobs = []
    for _ in range(12):
        jobs.append(await site.submit("extra", [{**BASE, "count": 1, "gpu": 1, "estimated_ms": 1000, "real_s": 1}]))
        await asyncio.sleep(0.5)
    site.note("the traffic ends")
    await asyncio.sleep(FINISH_S)
    begun, still_since = len(site.fleet.starts), now()
    while now() < still_since + STILL_S + 12:
        await asyncio.sleep(0.1)
    idle = begun == len(site.fleet.starts)
    waiting = [work for work, accepted in jobs if accepted and await site.state("extra", work) == "queued"]
    free = sum(it.free()[2] for it in workers)
    site.note(f"{len(waiting)} of {len(jobs)} small jobs are queued; {free} of {8 * len(workers)} GPUs are free, "
              f"{workers[0].free()} on each worker; nothing has started for {now() - still_since:.0f} s: {idle}")
    if not waiting:
        return None
    if not idle:
        raise CouldNotRun("work still starts")
    return f"{len(waiting)} of {len(jobs)} accepted jobs of one GPU wait, with {free} of {8 * len(workers)} GPUs free"


play(CASE, scenario)
