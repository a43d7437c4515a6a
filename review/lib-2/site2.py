"""Stand-ins for the scripts of cases 6 to 10, after the users' pages: the
platform's store (a log), workers that are given calls, and clients. They run in
one process on loopback; the entry VMs are processes of their own, started with
the command of deploy/system.toml. Python's standard library only."""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
IP = "127.0.0.1"


def now():
    return time.monotonic()


TAKEN = set()


def free_ports(count):
    """Ports below those that the system gives to outgoing channels."""
    ports, chance = [], random.SystemRandom()
    while len(ports) < count:
        port = chance.randrange(15000, 32000)
        with socket.socket() as it:
            it.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                it.bind((IP, port))
            except OSError:
                continue
        if port not in TAKEN:
            TAKEN.add(port)
            ports.append(port)
    return ports


# HTTP ----------------------------------------------------------------------

REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict",
           410: "Gone", 421: "Misdirected Request", 429: "Too Many Requests",
           503: "Service Unavailable"}


class HttpServer:
    """`handle(method, target, headers, body)` returns (status, body bytes), or
    None for no answer at all."""

    def __init__(self, port, handle):
        self.port, self.handle = port, handle
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, IP, self.port, limit=1 << 22, backlog=512)

    def stop(self):
        """As a process that has ended: the port is closed, channels break."""
        if self.server:
            self.server.close()
            self.server = None
        for it in list(self.writers):
            it.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
                lines = head.split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for it in lines[1:]:
                    if ":" in it:
                        key, value = it.split(":", 1)
                        headers[key.strip().lower()] = value.strip()
                size = int(headers.get("content-length", "0"))
                body = await reader.readexactly(size) if size else b""
                answer = await self.handle(method, target, headers, body)
                if answer is None:
                    await asyncio.sleep(120)
                    return
                status, out = answer
                if isinstance(out, (dict, list)):
                    out = json.dumps(out).encode()
                    kind = "application/json"
                else:
                    kind = "application/octet-stream"
                writer.write(f"HTTP/1.1 {status} {REASONS.get(status, 'X')}\r\nContent-Type: {kind}\r\n"
                             f"Content-Length: {len(out)}\r\n\r\n".encode() + out)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def call(port, method, target, headers=None, body=None, timeout=3.0):
    """One request on a channel of its own; (status, JSON or text), or (0, why)."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(IP, port)
            raw = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(raw)}", "Content-Type: application/json"]
            lines += [f"{key}: {value}" for key, value in (headers or {}).items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + raw)
            await writer.drain()
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
            status = int(head.split(" ", 2)[1])
            size = re.search(r"(?i)content-length: *(\d+)", head)
            out = await reader.readexactly(int(size.group(1))) if size else b""
            try:
                return status, json.loads(out)
            except ValueError:
                return status, out.decode("latin1")
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError) as error:
        return 0, type(error).__name__
    finally:
        if writer:
            writer.close()


# The platform's store ------------------------------------------------------

class Topic:
    def __init__(self):
        self.records = []
        self.first = 0
        self.newest = {}
        self.producers = {}
        self.grown = asyncio.Event()

    def add(self, raw, keyed):
        offset = len(self.records)
        self.records.append(raw)
        if keyed and raw and raw[0] + 1 <= len(raw):
            key = raw[1:1 + raw[0]].decode("latin1")
            value = raw[1 + raw[0]:]
            if value:
                self.newest[key] = (value, offset)
            else:
                self.newest.pop(key, None)


class Store:
    """One store with linearizable answers that loses nothing. `down` is None,
    "busy" (503 to every call) or "silent" (no answers, nothing is done)."""
    PARTS = 24
    lost_share = 0.0   # of the writes: done, the answer is lost
    late_share = 0.0   # of the writes: no answer, done 1 to 6 s later

    def __init__(self, port, answer_s=0.002):
        self.topics = {}
        self.down = None
        self.groups = {}
        self.http = HttpServer(port, self.handle)
        self.port = port
        self.answer_s = answer_s
        self.on_append = None

    def forget(self):
        """The history is dropped; the newest record of each key stays."""
        for it in self.topics.values():
            it.first = len(it.records)

    def rebalance(self, name):
        """All partitions are dealt anew at once."""
        group = self.group(name)
        group["generation"] += 1
        members = sorted(group["members"])
        random.shuffle(members)
        for n, part in enumerate(sorted(group.get("target", {}))):
            group["target"][part] = group["holder"][part] = members[n % len(members)] if members else None

    def topic(self, name, part=0):
        return self.topics.setdefault((name, part), Topic())

    def put(self, name, key, value):
        """A record of the operator or of a worker; value None drops the key."""
        raw = bytes([len(key)]) + key.encode() + (b"" if value is None else json.dumps(value).encode())
        it = self.topic(name)
        it.add(raw, True)
        it.grown.set()
        it.grown = asyncio.Event()

    def door(self, port):
        """Another address of the store, for one entry VM; `faults` may be
        "busy" or "silent" there."""
        faults = {"mode": None}

        async def handle(method, target, headers, body):
            if faults["mode"] == "busy":
                return 503, {}
            if faults["mode"] == "silent":
                return None
            return await self.handle(method, target, headers, body)
        return HttpServer(port, handle), faults

    async def handle(self, method, target, headers, body):
        if self.down == "busy":
            return 503, {}
        if self.down == "silent":
            return None
        await asyncio.sleep(self.answer_s)
        if method == "POST" and random.random() < self.late_share:
            asyncio.create_task(self.carry_out_late(target, body))
            return None
        answer = await self.carry_out(target, body)
        return None if method == "POST" and random.random() < self.lost_share else answer

    async def carry_out_late(self, target, body):
        await asyncio.sleep(random.uniform(1, 6))
        await self.carry_out(target, body)

    async def carry_out(self, target, body):
        url = urlsplit(target)
        query = {key: value[0] for key, value in parse_qs(url.query, keep_blank_values=True).items()}
        name = url.path.rsplit("/", 1)[-1]
        if name == "log-append":
            return self.append(query, body)
        if name == "log-read":
            return await self.read(query)
        if name == "log-newest":
            return self.read_newest(query)
        if name == "log-owners":
            return 200, {"owners": self.owners(query.get("group", ""))}
        if name == "log-join":
            return self.join(json.loads(body))
        if name == "log-leave":
            return self.leave(json.loads(body))
        return 404, {}

    def append(self, query, body):
        name = query["topic"]
        if name in ("keyed.op", "keyed.servers"):
            return 403, {}
        it = self.topic(name, int(query.get("part", 0)))
        if "producer" in query:
            epoch, sequence = int(query["epoch"]), int(query["sequence"])
            known = it.producers.get(query["producer"])
            if known and epoch < known["epoch"]:
                return 409, {"reason": "fenced"}
            if not known or epoch > known["epoch"]:
                known = it.producers[query["producer"]] = {"epoch": epoch, "next": None, "answers": {}}
            if body:
                if sequence in known["answers"]:
                    return 200, known["answers"][sequence]
                if known["next"] is not None and sequence != known["next"]:
                    return 409, {"reason": "seq", "sequence": known["next"]}
        offset, at = len(it.records), 0
        while at < len(body):
            size = struct.unpack_from(">I", body, at)[0]
            it.add(body[at + 4:at + 4 + size], name.startswith("keyed."))
            at += 4 + size
        answer = {"offset": offset, "end": len(it.records)}
        if "producer" in query and body:
            known["next"] = sequence + 1
            known["answers"][sequence] = answer
            known["answers"].pop(sequence - 5, None)
        if body:
            it.grown.set()
            it.grown = asyncio.Event()
        if self.on_append:
            self.on_append(name, query, len(body))
        return 200, answer

    async def read(self, query):
        it = self.topic(query["topic"], int(query.get("part", 0)))
        start = int(query["from"])
        if start < it.first:
            return 410, {"first": it.first}
        wait = min(int(query.get("wait_ms", 0)), 30000) / 1000
        end = now() + wait
        while len(it.records) <= start and now() < end:
            try:
                await asyncio.wait_for(it.grown.wait(), end - now())
            except TimeoutError:
                break
        room, out = int(query.get("max_kilobytes", 1024)) * 1024, []
        for raw in it.records[start:]:
            room -= 4 + len(raw)
            if out and room < 0:
                break
            out.append(struct.pack(">I", len(raw)) + raw)
        return 200, struct.pack(">QQ", len(it.records), it.first) + b"".join(out)

    def read_newest(self, query):
        it = self.topic(query["topic"], int(query.get("part", 0)))
        after = query.get("after", "")
        items, size, more = [], 0, False
        for key in sorted(key for key in it.newest if key > after):
            value, offset = it.newest[key]
            if len(items) >= 500 or (items and size + len(value) > 1 << 20):
                more = True
                break
            size += len(value)
            items.append({"key": key, "value": base64.b64encode(value).decode(), "offset": offset})
        return 200, {"items": items, "more_pages": more, "end": len(it.records)}

    # Groups: each partition belongs to one member.
    def group(self, name):
        return self.groups.setdefault(name, {"generation": 0, "members": {}, "topics": {}, "holder": {}})

    def expire(self, group):
        t = now()
        gone = [it for it, state in group["members"].items() if t > state["until"]]
        for it in gone:
            del group["members"][it]
        if gone:
            self.deal(group, gone)

    def deal(self, group, gone=()):
        group["generation"] += 1
        members = sorted(group["members"])
        for part, holder in list(group["holder"].items()):
            if holder in gone:
                group["holder"][part] = None
        group["target"] = {}
        names = sorted({it for state in group["members"].values() for it in state["topics"]})
        for topic in names:
            for part in range(self.PARTS):
                group["target"][(topic, part)] = members[part % len(members)] if members else None
                group["holder"].setdefault((topic, part), None)
        self.settle(group)

    def settle(self, group):
        for part, target in group.get("target", {}).items():
            holder = group["holder"].get(part)
            state = group["members"].get(holder)
            if holder is None or state is None or (holder != target and state["generation"] >= group["generation"]):
                group["holder"][part] = target

    def join(self, body):
        group = self.group(body["group"])
        self.expire(group)
        member = body["member"]
        state = group["members"].get(member)
        known = state is not None
        state = group["members"].setdefault(member, {"generation": 0, "topics": body["topics"]})
        state["until"] = now() + body["ttl_ms"] / 1000
        state["generation"] = body["generation"]
        if not known:
            self.deal(group)
        self.settle(group)
        parts = [[topic, part, 0] for (topic, part), holder in sorted(group["holder"].items())
                 if holder == member and group["target"].get((topic, part)) == member]
        return 200, {"generation": group["generation"], "ttl_ms": body["ttl_ms"], "parts": parts}

    def leave(self, body):
        group = self.group(body["group"])
        if group["members"].pop(body["member"], None):
            self.deal(group, [body["member"]])
        return 200, {}

    def owners(self, name):
        group = self.group(name)
        self.expire(group)
        return [[topic, part, holder, 0] for (topic, part), holder in sorted(group["holder"].items()) if holder]

    def owner_of_jobs(self):
        for topic, part, member, _ in self.owners("owners"):
            if topic == "keyed.jobs" and part == 0:
                return member.split("/")[0]
        return None


# Workers -------------------------------------------------------------------

class Run:
    def __init__(self, number, spec, program):
        self.number, self.spec, self.program = number, spec, program
        self.began = now()
        self.works_since = None
        self.stops_at = None


class Worker:
    """One worker. `fleet.program(task, run, spec)` gives what a run does:
    {"s": seconds, "how": "done" or "failed", "gang": members, "need": (cpu, MB, gpu)}."""

    def __init__(self, fleet, name, zone, rack, port, capacity, kind="a"):
        self.fleet, self.id, self.zone, self.rack, self.port, self.kind = fleet, name, zone, rack, port, kind
        self.capacity = capacity
        self.service = fleet.service
        self.http = HttpServer(port, self.handle)
        self.up = False
        self.state = "ready"
        self.sequence = 0
        self.fails_all = False
        self.drain_until = 0.0
        self.cut = False          # calls get lost on the way
        self.late_share = 0.0     # of the orders: no answer, carried out 2 to 12 s later
        self.lost_share = 0.0     # of the calls: carried out, the answer is lost
        self.cross_life = False   # late orders may reach the worker's next life
        self.later = []

    async def start(self):
        self.born = int(time.time() * 1000)
        self.t0 = now()
        self.token = 0
        self.lease = 0
        self.runs, self.ends, self.last_end, self.highest = {}, [], 0, {}
        self.ended_event = asyncio.Event()
        await self.http.start()
        self.up = True

    def clock(self):
        return int((now() - self.t0) * 1000)

    def entry(self):
        self.sequence += 1
        return {"service": self.service, "address": f"{IP}:{self.port}", "zone": self.zone, "version": "v1",
                "slots": 8, "state": self.state, "cold_remaining_ms": 0,
                "capacity": {"cpu": self.capacity[0], "requested_memory_mb": self.capacity[1], "gpu": self.capacity[2]},
                "labels": [self.kind, self.rack], "clock_ms": self.clock(), "sequence": self.sequence,
                "born": self.born, "machine": "m-" + self.id,
                **({"drain_remaining_ms": max(0, int((self.drain_until - now()) * 1000))}
                   if self.state == "draining" else {})}

    def free(self):
        used = [sum(it.program["need"][n] for it in self.runs.values()) for n in range(3)]
        return [self.capacity[n] - used[n] for n in range(3)]

    def end(self, task, how, saved=""):
        run = self.runs.pop(task)
        self.highest[task] = max(self.highest.get(task, 0), run.number)
        self.last_end += 1
        self.ends.append([self.last_end, task, run.number, how, saved])
        self.fleet.log("end", self.id, task, run.number, how)
        self.fleet.on_end(self, task, run, how)
        self.ended_event.set()
        self.ended_event = asyncio.Event()

    def tick(self):
        t = now()
        lapsed = self.clock() >= self.lease
        for task, run in list(self.runs.items()):
            if task not in self.runs:
                continue
            gang = run.program.get("gang", 1)
            if lapsed:
                how = "lapsed"
            elif run.stops_at and t >= run.stops_at:
                how = "stopped"
            elif run.works_since and t >= run.works_since + run.program["s"]:
                how = run.program["how"]
            elif not run.works_since and t >= run.began + self.fleet.gang_s:
                how = "alone"
            else:
                continue
            self.end(task, how)
            if gang > 1 and how != "alone":
                self.fleet.end_gang(task, run.number, "done" if how == "done" else "broken")

    async def handle(self, method, target, headers, body):
        if self.cut:
            return None
        if "hold" not in target and random.random() < self.late_share:
            self.later.append(asyncio.create_task(self.carry_out_late(self.born, target, headers, body)))
            return None
        answer = await self.carry_out(target, headers, body)
        return None if self.cut or random.random() < self.lost_share else answer

    async def carry_out_late(self, born, target, headers, body):
        await asyncio.sleep(random.uniform(2, 12))
        if self.up and (self.born == born or self.cross_life):
            self.fleet.log("carries out late", self.id, target, 0, body.decode()[:90])
            await self.carry_out(target, headers, body)

    def crash(self):
        """All that runs is lost. start() begins the next life."""
        self.up = False
        self.http.stop()
        for task, run in list(self.runs.items()):
            self.fleet.log("loses", self.id, task, run.number, "")
            self.fleet.on_end(self, task, run, "lost")
        lost, self.runs = self.runs, {}
        for task, run in lost.items():
            if run.program.get("gang", 1) > 1:
                self.fleet.end_gang(task, run.number, "broken")

    async def carry_out(self, target, headers, body):
        path = urlsplit(target).path
        if path == "/health":
            return 200, {}
        if headers.get("expected-instance", self.id) != self.id:
            return 421, {}
        asked = json.loads(body)
        self.tick()
        token = asked.get("fencing_token", 0)
        if token < self.token:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.token = token
        if path.endswith("/run-start"):
            return self.run_start(asked)
        if path.endswith("/run-stop"):
            task, number = asked["task"], asked["run"]
            self.highest[task] = max(self.highest.get(task, 0), number)
            run = self.runs.get(task)
            if run and run.number <= number and not run.stops_at:
                run.stops_at = now() + self.fleet.stop_s
                self.fleet.log("stop", self.id, task, number, "")
            return 200, {"clock_ms": self.clock()}
        if path.endswith("/hold"):
            return await self.hold(asked)
        return 404, {}

    def extend(self, until):
        self.lease = max(self.lease, min(until, self.clock() + self.fleet.hold_max_ms))

    def run_start(self, asked):
        task, number = asked["task"], asked["run"]

        def refuse(reason):
            self.fleet.log("refused", self.id, task, number, reason)
            return 409, {"clock_ms": self.clock(), "reason": reason}
        if asked["until_ms"] <= self.clock():
            return refuse("late")
        there = self.runs.get(task)
        if there and there.number == number:
            self.extend(asked["until_ms"])
            return 200, {"clock_ms": self.clock()}
        self.extend(asked["until_ms"])
        if there or number <= self.highest.get(task, 0):
            return refuse("old")
        program = dict(self.fleet.program(task, number, asked["task_spec"]))
        if self.fails_all:
            program["s"], program["how"] = min(program["s"], 0.3), "failed"
        if any(a < b for a, b in zip(self.free(), program["need"])):
            return refuse("room")
        run = self.runs[task] = Run(number, asked["task_spec"], program)
        if program.get("gang", 1) == 1:
            run.works_since = now()
        self.fleet.log("start", self.id, task, number, "")
        self.fleet.on_start(self, task, run)
        self.fleet.complete_gang(task, number, program.get("gang", 1))
        return 200, {"clock_ms": self.clock()}

    async def hold(self, asked):
        if "until_ms" in asked:
            self.extend(asked["until_ms"])
        seen = asked.get("seen_upto", 0)
        for it in self.ends:
            if it[0] <= seen:
                self.fleet.on_noted(self, it)
        self.ends = [it for it in self.ends if it[0] > seen]
        end = now() + min(asked.get("wait_ms", 0), 2000) / 1000
        while not self.ends and now() < end:
            try:
                await asyncio.wait_for(self.ended_event.wait(), end - now())
            except TimeoutError:
                break
        running = []
        for task, run in self.runs.items():
            percent = 0
            if run.works_since:
                percent = min(99, int(100 * (now() - run.works_since) / max(run.program["s"], 0.001)))
                if run.program.get("lasts"):
                    percent = 100
            running.append([task, run.number, "", percent, run.program["need"][0]])
        return 200, {"clock_ms": self.clock(), "born": self.born, "running": running, "ended": self.ends[:500]}


class Fleet:
    def __init__(self, site, service="kalibu"):
        self.site, self.service, self.workers = site, service, []
        self.hold_max_ms, self.stop_s, self.gang_s = 6000, 0.1, 3.0
        self.jobs = {}
        self.starts, self.finished = [], []
        self.noted = []

    def add(self, count, racks, zones, capacity):
        ports = free_ports(count)
        for n in range(count):
            self.workers.append(Worker(self, f"i-{n:04x}{random.randrange(1 << 16):04x}", zones[n % len(zones)],
                                       f"r1-{n * racks // count}", ports[n], capacity))

    def program(self, task, run, spec):
        work, _, step, index = task.split(".")
        job = self.jobs[work]
        it = job["steps"][int(step)]
        need = (it.get("cpu", 0), it.get("requested_memory_mb", 0), it.get("gpu", 0))
        out = {"s": it["real_s"], "how": "done", "need": need, "gang": it["count"] if it.get("gang") else 1}
        if job.get("long_running"):
            out["lasts"] = True
        return out

    def log(self, what, worker, task, run, how):
        self.site.note(f"worker {worker} {what} {task} run {run} {how}".rstrip())

    def on_start(self, worker, task, run):
        self.starts.append((now(), worker.id, task, run.number))

    def on_end(self, worker, task, run, how):
        self.finished.append((now(), worker.id, task, run.number, how))

    def on_noted(self, worker, end):
        self.noted.append((now(), worker.id, end[1], end[2], end[3]))

    def members(self, task, number):
        step = task.rsplit(".", 1)[0]
        return [(it, name) for it in self.workers if it.up for name, run in it.runs.items()
                if name.rsplit(".", 1)[0] == step and run.number == number]

    def complete_gang(self, task, number, size):
        if size > 1:
            there = self.members(task, number)
            if len(there) == size:
                for worker, name in there:
                    worker.runs[name].works_since = now()

    def end_gang(self, task, number, how):
        for worker, name in self.members(task, number):
            if worker.runs[name].works_since:
                worker.end(name, how)

    async def run(self):
        """Lets runs end, and has each worker report itself each 1.5 s."""
        beats = {it.id: now() + random.random() * 0.5 for it in self.workers}
        for it in self.workers:
            self.site.store.put("keyed.servers", it.id, it.entry())
        while True:
            for it in self.workers:
                if it.up:
                    it.tick()
                    if now() >= beats[it.id]:
                        beats[it.id] = now() + 1.5
                        self.site.store.put("keyed.servers", it.id, it.entry())
            await asyncio.sleep(0.004)


# The deployment ------------------------------------------------------------

BOUNDS = dict(config_apply_ms=2000, outer_bound_ms=5000, drain_ms=2000, grace_s=6, hold_max_ms=6000, stop_ms=900,
              gang_ms=3000, reclaim_ms=3400, far_factor=3, status_s=120, save_s=1, restore_ms=600)


def lookup(fields, path):
    for it in path.split("."):
        if isinstance(fields, list):
            fields = fields[int(it)] if int(it) < len(fields) else None
        elif isinstance(fields, dict):
            fields = fields.get(it)
        else:
            return None
    return fields


def fill(template, fields):
    def value(match):
        it = lookup(fields, match.group(1))
        if it is None:
            return ""
        return ",".join(map(str, it)) if isinstance(it, list) else str(it)
    return re.sub(r"\{\{([a-z_.0-9]+)\}\}", value, template)


class EntryVm:
    def __init__(self, site, name, zone):
        self.site, self.name, self.zone = site, name, zone
        self.front, self.ready, self.control, self.metrics, self.store_port = free_ports(5)
        self.door, self.store_faults = site.store.door(self.store_port)
        self.settings = site.folder / f"{name}.ini"
        self.child = None

    def write_settings(self, seeds):
        role = self.site.deploy["roles"]["entry"]
        fields = {"node_name": self.name, "zone": self.zone, "ip_address": IP,
                  "listen_addresses": {"front": f"{IP}:{self.front}", "ready": f"{IP}:{self.ready}",
                                       "control": f"{IP}:{self.control}"},
                  "internal_port_range": [self.metrics, self.metrics], "seed_nodes": seeds,
                  "limits": {"cpu_share": 0.25, "memory_mb": 260, "file_descriptors": 4100, "link_mbps": 1000.0},
                  "platform": {"address": f"{IP}:{self.store_port}", "min_ttl_ms": 1000},
                  "heartbeat_interval_ms": 1500, "bounds": BOUNDS}
        self.settings.write_text(fill((ROOT / role["template"]).read_text(), fields))

    def start(self):
        command = self.site.deploy["roles"]["entry"]["run"].split()
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env["CITRONGAP_CONFIG"] = str(self.settings)
        self.out = open(self.site.folder / f"{self.name}.log", "ab")
        self.child = subprocess.Popen(command, cwd=ROOT, env=env, stdout=self.out, stderr=subprocess.STDOUT,
                                      stdin=subprocess.DEVNULL)
        self.site.note(f"platform starts {self.name}")

    def alive(self):
        return self.child is not None and self.child.poll() is None

    def signal(self, number):
        if self.alive():
            self.child.send_signal(number)

    def rss_mb(self):
        try:
            text = Path(f"/proc/{self.child.pid}/status").read_text()
            return int(re.search(r"VmRSS:\s+(\d+)", text).group(1)) / 1024
        except (OSError, AttributeError):
            return 0.0

    async def is_ready(self):
        return (await call(self.ready, "GET", "/citrongap/readiness", timeout=1.0))[0] == 200


class Site:
    """A small deployment: entry VMs, the store, workers of one service, one
    queue of each priority, two tenants."""
    HOST = "nony24.example"
    KEYS = {"mint": "d4a3hwrr6x73d3zji9n7", "medal": "3hh2b9wu3fexd9dnn2ct"}

    def __init__(self, case, vms=4, workers=12, racks=2, capacity=(128000, 262144, 8)):
        self.case = Path(case)
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record = open(self.case / "record.txt", "w")
        self.t0 = now()
        self.store = Store(free_ports(1)[0])
        zones = ["dar-kati", "bagamoyo", "kibaha"]
        self.vms = [EntryVm(self, f"front-{zones[n % 3]}-{n // 3 + 1}", zones[n % 3]) for n in range(vms)]
        self.fleet = Fleet(self)
        self.fleet.add(workers, racks, zones, capacity)
        self.routes = []
        for name, priority, attempts in (("urgent", 0, 3), ("batch", 1, 3), ("extra", 2, 2)):
            self.routes.append({"name": f"r-{name}", "host": self.HOST, "path_prefix": f"/{name}/",
                                "route_kind": "unsafe", "timeout_ms": 3000, "target_duration_ms": 3000,
                                "priority": priority, "service": self.fleet.service, "max_attempts": attempts,
                                "stretch": 3.0, "public": False})
        self.version = 0
        self.tasks = []
        self.quiet = False

    def note(self, text):
        if not self.quiet:
            self.record.write(f"{now() - self.t0:9.3f} {text}\n")

    def publish(self):
        self.version += 3
        self.store.put("keyed.op", "config", {
            "version": self.version, "routes": self.routes,
            "services": [{"name": name, "health_path": "/health", "max_connections": 64, "protocol": "h1",
                          "tls_enabled": False, "admission_check": True, "spare": False}
                         for name in sorted({it.service for it in self.fleet.workers})],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000},
            "tenants": [{"name": name, "api_keys": [key], "priority": 1, "guaranteed": {"gpu": 16}}
                        for name, key in self.KEYS.items()]})

    async def start(self):
        await self.store.http.start()
        for it in self.vms:
            await it.door.start()
        for it in self.fleet.workers:
            await it.start()
        self.publish()
        self.tasks.append(asyncio.create_task(self.fleet.run()))
        for it in self.vms:
            it.write_settings([f"{IP}:{n.control}" for n in self.vms[:3]])
            it.start()
        end = now() + 15
        while now() < end:
            ready = [await it.is_ready() for it in self.vms]
            if all(ready) and self.store.owner_of_jobs():
                await asyncio.sleep(1.0)
                self.note("all entry VMs are ready")
                return True
            await asyncio.sleep(0.1)
        return False

    def owner(self):
        name = self.store.owner_of_jobs()
        return next((it for it in self.vms if it.name == name), None)

    async def request(self, vm, method, queue, work, body=None, tenant="mint", timeout=3.0):
        status, out = await call(vm.front, method, f"/{queue}/{work}",
                                 {"Host": self.HOST, "Api-Key": self.KEYS[tenant],
                                  "Deadline-Ms": str(int(timeout * 1000))}, body, timeout)
        self.note(f"client {method} /{queue}/{work} at {vm.name}: {status} {json.dumps(out)[:120]}")
        return status, out

    async def ask(self, method, queue, work, body=None, tenant="mint", tries=5):
        """As a client: other entry VMs after no answer, 429, 502, 503 or 504."""
        vms = [it for it in self.vms if it.alive()]
        random.shuffle(vms)
        status, out = 0, "no entry VM"
        for n in range(tries):
            status, out = await self.request(vms[n % len(vms)], method, queue, work, body, tenant)
            if status not in (0, 429, 502, 503, 504):
                break
            await asyncio.sleep(0.5)
        return status, out

    async def submit(self, queue, steps, tenant="mint", spec="(text)", **more):
        """Submits a job; "real_s" of a step is what its work items take."""
        work = f"{random.getrandbits(64):016x}"
        self.fleet.jobs[work] = {"steps": steps, **more}
        sent = [{key: value for key, value in it.items() if key != "real_s"} for it in steps]
        status, _ = await self.ask("POST", queue, work, {"task_spec": spec, "steps": sent, **more}, tenant)
        return work, 200 <= status < 300

    async def state(self, queue, work, tenant="mint"):
        status, out = await self.ask("GET", queue, work, None, tenant)
        return out.get("state", "?") if status == 200 else str(status)

    async def stop(self):
        for it in self.tasks:
            it.cancel()
        for it in self.vms:
            it.signal(signal.SIGCONT)
            it.signal(signal.SIGKILL)
        for it in self.vms:
            if it.child:
                it.child.wait()
                it.out.close()
        self.store.http.stop()
        for it in self.vms:
            it.door.stop()
        for it in self.fleet.workers:
            it.http.stop()
        self.record.close()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def play(case, scenario, limit_s=110, prepare=None, **shape):
    """Runs `scenario(site, trouble)`, which returns a text if the rule was
    broken, and None if it held. Exits with 1, 0, or 2 if it couldn't run.
    `prepare(site)` changes the deployment before it starts."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        # A signal to the script ends it like any other failure, so that the
        # processes that it started end too.
        this = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, this.cancel)
        site = Site(case, **shape)
        try:
            if prepare:
                prepare(site)
            async with asyncio.timeout(limit_s):
                if not await site.start():
                    site.quiet = False
                    raise CouldNotRun("the entry VMs aren't ready")
                broken = await scenario(site, trouble)
                site.quiet = False
                site.note(f"result: {'the rule was broken: ' + broken if broken else 'the rule held'}")
                print(broken or "the rule held")
                return 1 if broken else 0
        except (TimeoutError, CouldNotRun) as error:
            site.quiet = False
            site.note(f"result: couldn't run, {error or 'out of time'}")
            print(f"couldn't run: {error or 'out of time'}")
            return 2
        except asyncio.CancelledError:
            site.quiet = False
            site.note("result: couldn't run, ended by a signal")
            return 2
        finally:
            await site.stop()
    sys.exit(asyncio.run(main()))


class CouldNotRun(Exception):
    """The disturbance could not be brought about."""
