"""A worker that came back under its id is lost for good a few seconds later. Its
work stays idle long after the lease has ended."""
import asyncio, sys
from pathlib import Path
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "lib"))
import standins
from standins import HEARTBEAT_S, main, new_id, now

standins.HOLD_MAX_MS = 6000   # hold_max_ms of sites/chongo-kazi.toml
FINISH_S = 14.0      # finish_s
IDLE_S = 3.0         # "for 3 s, a job has nothing running"


async def play(site, trouble):
    owner, _ = site.owner()
    worker, others = site.workers[0], site.workers[1:]
    await asyncio.sleep(2 * HEARTBEAT_S)
    if trouble:
        worker.crash()
        await asyncio.sleep(1)
        await worker.restart()
        await asyncio.sleep(0.5)
    # Its data is in the rack of this worker, so that it is started there.
    job = new_id()
    status, _ = await site.ask(owner, "POST", "urgent", job, site.job(60000, affinity=worker.rack))
    if status != 200:
        raise RuntimeError("the job was not accepted")
    traffic_ended = now()
    await asyncio.sleep(1.5)
    if not any(task.startswith(job) for task in worker.runs):
        raise RuntimeError("the job runs on another worker")
    worker.crash()
    lease_ended = now() + standins.HOLD_MAX_MS / 1000
    await asyncio.sleep(traffic_ended + FINISH_S - now())
    until, idle, most = now() + IDLE_S, True, 0
    while now() < until:
        for it in others:
            idle = idle and not any(task.startswith(job) for task in it.runs)
        most = max(most, sum(run["gpu"] for it in others for run in it.runs.values()))
        await asyncio.sleep(0.02)
    room = sum(it.gpus for it in others)
    site.record(f"the lease ended {now() - lease_ended:.1f} s ago at the latest; at most {most} of {room} "
                "accelerators were in use")
    await site.ask(owner, "GET", "urgent", job)
    await asyncio.sleep(10)
    return f"{job} had nothing running for {IDLE_S} s, {FINISH_S} s after the last request" if idle else ""

if __name__ == "__main__":
    main(Path(__file__).resolve().parent, play, vms=2, workers=8, racks=8)
