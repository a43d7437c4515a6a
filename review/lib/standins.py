"""Stand-ins for the scripts below review/: the platform's store, workers and
clients, as the pages describe them. One process, one event loop, the real
clock, loopback addresses only. Needs nothing but Python's standard library.

What the pages leave open is done as a sound store or worker would do it.
"""
import asyncio, base64, json, os, random, shutil, signal, struct, subprocess, sys, tempfile, time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

HERE = Path(__file__).resolve().parent
REPO = HERE.parent.parent
PROGRAM = ["target/platform/citrongap_entry", "--settings-variable", "CITRONGAP_CONFIG"]

# Bounds of sites/gh-lahore.toml, as the deploy file's template hands them over.
HOLD_MAX_MS = 10000
STOP_MS = 900
HEARTBEAT_S = 1.5
SAVE_MS = 500
RECORD_BYTES = 262144
CALL_BYTES = 2097152
MIN_TTL_MS = 1000


def now():
    return time.monotonic()


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w")
        self.start = now()

    def __call__(self, text):
        self.file.write(f"{now() - self.start:8.3f} {text}\n")
        self.file.flush()


# ---------------------------------------------------------------- HTTP

async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            key, value = line.split(":", 1)
            headers[key.strip().lower()] = value.strip()
    body = b""
    length = int(headers.get("content-length", 0))
    if length:
        body = await reader.readexactly(length)
    return lines[0], headers, body


class HttpServer:
    """Keep-alive HTTP/1.1. `handle(method, target, headers, body, peer)` gives
    (status, bytes or object), or None for no answer, ever."""

    def __init__(self, handle):
        self.handle = handle

    async def listen(self, ip, port=0):
        self.writers = set()
        self.server = await asyncio.start_server(self.serve, ip, port, limit=1 << 24)
        return self.server.sockets[0].getsockname()[1]

    def reset(self):
        """As when the process ends: no listener, all channels are reset."""
        self.server.close()
        for it in list(self.writers):
            it.transport.abort()

    async def serve(self, reader, writer):
        peer = writer.get_extra_info("peername")[0]
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                answer = await self.handle(method, target, headers, body, peer)
                if answer is None:
                    await asyncio.sleep(3600)
                status, content = answer
                if not isinstance(content, bytes):
                    content = json.dumps(content).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(content)}\r\n\r\n".encode() + content)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def call(at, method, target, headers=None, body=None, timeout=3.0):
    """One request on a channel of its own: (status, object), or (0, reason)."""
    async def go():
        ip, port = at.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            content = b"" if body is None else json.dumps(body).encode()
            head = f"{method} {target} HTTP/1.1\r\nContent-Length: {len(content)}\r\nConnection: close\r\n"
            if body is not None:
                head += "Content-Type: application/json\r\n"
            for key, value in (headers or {}).items():
                head += f"{key}: {value}\r\n"
            writer.write(head.encode() + b"\r\n" + content)
            line, _, got = await read_message(reader)
            return int(line.split(" ")[1]), json.loads(got or b"{}")
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(go(), timeout)
    except asyncio.TimeoutError:
        return 0, "no answer"
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        return 0, f"broken: {error}"


# ---------------------------------------------------------------- the store

class Topic:
    def __init__(self):
        self.records = []          # (key or None, raw bytes of the record)
        self.newest = {}           # key -> (value, offset)
        self.producers = {}        # name -> [epoch, next sequence, [(sequence, answer)]]
        self.grown = asyncio.Event()

    def add(self, raw):
        offset = len(self.records)
        key_length = raw[0] if raw else 0
        key = raw[1:1 + key_length].decode("latin-1")
        value = raw[1 + key_length:]
        self.records.append(raw)
        if value:
            self.newest[key] = (value, offset)
        else:
            self.newest.pop(key, None)
        return offset

    def wake(self):
        self.grown.set()
        self.grown = asyncio.Event()


class Store:
    """The platform's store in its form `log`. Only partition 0 is used."""
    READ_ONLY = ("keyed.op", "keyed.servers")

    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.members = {}          # name -> [expires at, generation it joined with]
        self.owner = ""
        self.generation = 0
        self.slow_s = 0.0          # its answers take so much longer
        self.silent_for = set()    # source addresses that get no answer
        self.busy_for = set()      # source addresses that get 503
        self.answer_hook = None    # async, before each answer
        self.http = HttpServer(self.handle)

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, value):
        """As the operator or a worker writes; `value` None removes the key."""
        content = b"" if value is None else (value if isinstance(value, bytes) else json.dumps(value).encode())
        it = self.topic(topic)
        it.add(bytes([len(key)]) + key.encode() + content)
        it.wake()

    async def handle(self, method, target, headers, body, peer):
        if peer in self.silent_for:
            return None
        if peer in self.busy_for:
            return 503, {}
        url = urlsplit(target)
        query = {key: value[0] for key, value in parse_qs(url.query).items()}
        name = url.path.rsplit("/", 1)[-1]
        await asyncio.sleep(0.001)
        if name == "log-append":
            answer = self.append(query, body)
        elif name == "log-read":
            answer = await self.read(query)
        elif name == "log-newest":
            answer = self.newest(query)
        elif name in ("log-join", "log-leave"):
            answer = self.member(name, json.loads(body or b"{}"))
        elif name == "log-owners":
            self.expire()
            rows = [["keyed.jobs", 0, self.owner, 0]] if self.owner else []
            answer = 200, {"rows": rows}
        else:
            answer = 404, {}
        await asyncio.sleep(0.003 + self.slow_s)
        # A call that was under way when the store fell silent gets no answer either.
        if peer in self.silent_for:
            return None
        return answer

    def append(self, query, body):
        if query["topic"] in self.READ_ONLY:
            return 403, {}
        records, at = [], 0
        while at < len(body):
            (length,) = struct.unpack(">I", body[at:at + 4])
            records.append(body[at + 4:at + 4 + length])
            at += 4 + length
        if any(len(it) > RECORD_BYTES for it in records):
            self.record(f"store: refused a record of {max(map(len, records))} bytes, the limit is {RECORD_BYTES}")
            return 413, {"error": "a record is too large"}
        if sum(map(len, records)) > CALL_BYTES:
            return 413, {"error": "the call is too large"}
        it = self.topic(query["topic"])
        if "producer" in query:
            epoch, sequence = int(query["epoch"]), int(query["sequence"])
            known = it.producers.get(query["producer"])
            if known and epoch < known[0]:
                return 409, {"reason": "fenced"}
            if not known or epoch > known[0]:
                known = it.producers[query["producer"]] = [epoch, sequence, []]
            if records:
                for done, answer in known[2]:
                    if done == sequence:
                        return answer
                if sequence != known[1]:
                    return 409, {"reason": "seq", "sequence": known[1]}
        first = len(it.records)
        for raw in records:
            it.add(raw)
        answer = 200, {"offset": first, "end": len(it.records)}
        if records:
            it.wake()
            if "producer" in query:
                known[1] = sequence + 1
                known[2] = (known[2] + [(sequence, answer)])[-5:]
        return answer

    async def read(self, query):
        it = self.topic(query["topic"])
        start, until = int(query["from"]), now() + int(query.get("wait_ms", 0)) / 1000
        while start >= len(it.records) and now() < until:
            try:
                await asyncio.wait_for(it.grown.wait(), until - now())
            except asyncio.TimeoutError:
                break
        out, limit = struct.pack(">QQ", len(it.records), 0), int(query.get("max_kilobytes", 1024)) * 1024
        for raw in it.records[start:]:
            if len(out) > limit:
                break
            out += struct.pack(">I", len(raw)) + raw
        return 200, out

    def newest(self, query):
        it = self.topic(query["topic"])
        keys = sorted(key for key in it.newest if key > query.get("after", ""))
        items, size = [], 0
        for key in keys[:500]:
            value, offset = it.newest[key]
            if items and size + len(value) > 1 << 20:
                break
            size += len(value)
            items.append({"key": key, "value": base64.b64encode(value).decode(), "offset": offset})
        return 200, {"items": items, "more_pages": len(items) < len(keys), "end": len(it.records)}

    def expire(self):
        for name in [name for name, it in self.members.items() if now() > it[0]]:
            self.remove(name)

    def remove(self, name):
        self.members.pop(name, None)
        self.generation += 1
        if self.owner == name:
            self.owner = next(iter(self.members), "")

    def member(self, call_name, body):
        self.expire()
        name = body["member"]
        if call_name == "log-leave":
            if name in self.members:
                self.remove(name)
            return 200, {}
        if name not in self.members:
            self.generation += 1
            self.members[name] = [0, 0]
            self.owner = self.owner or name
        self.members[name] = [now() + max(body["ttl_ms"], MIN_TTL_MS) / 1000, self.generation]
        parts = [["keyed.jobs", 0, 0]] if self.owner == name else []
        return 200, {"generation": self.generation, "ttl_ms": body["ttl_ms"], "parts": parts}


# ---------------------------------------------------------------- workers

class Worker:
    """One worker with `admission_check`. `task_spec` is JSON: `work_ms`, `gpu`."""

    def __init__(self, record, store, name, machine, rack, service, gpus=8):
        self.record, self.store, self.name, self.machine = record, store, name, machine
        self.service, self.rack, self.gpus = service, rack, gpus
        self.born = int(time.time() * 1000)
        self.started = now()
        self.token = 0
        self.until = 0
        self.runs = {}             # task -> dict
        self.highest = {}          # task -> highest run stopped or ended
        self.ended = []
        self.number = 0
        self.sequence = 0
        self.changed = asyncio.Event()
        self.starts = []           # (time, task, run)
        self.log = []              # (time, 'start'|'end', task, run, how)
        self.http = HttpServer(self.handle)

    def clock(self):
        return int((now() - self.started) * 1000)

    @staticmethod
    def recorded(task):
        """Of a wide step, only every hundredth work item goes into record.txt."""
        return int(task.rsplit(".", 1)[1]) % 100 == 0

    def entry(self):
        self.sequence += 1
        return {"service": self.service, "address": self.address, "zone": "z-1", "version": "v1", "slots": 8,
                "state": "ready", "cold_remaining_ms": 0, "sequence": self.sequence, "born": self.born,
                "machine": self.machine, "clock_ms": self.clock(),
                "capacity": {"cpu": 128000, "requested_memory_mb": 524288, "gpu": self.gpus},
                "labels": ["a", self.rack]}

    async def run(self, ip):
        self.address = f"{ip}:{await self.http.listen(ip)}"
        self.tasks = [asyncio.ensure_future(self.beat()), asyncio.ensure_future(self.tick())]

    def crash(self):
        """It sends nothing more; its entry is removed after three intervals of silence."""
        self.record(f"worker {self.name} crashes")
        self.http.reset()
        for it in self.tasks:
            it.cancel()
        for task, run in self.runs.items():
            self.log.append((now(), "end", task, run["run"], "gone"))
        silent_from = self.sequence

        async def expire():
            await asyncio.sleep(3 * HEARTBEAT_S)
            if self.sequence == silent_from:
                self.record(f"store: the entry of {self.name} is removed")
                self.store.put("keyed.servers", self.name, None)
        asyncio.ensure_future(expire())

    async def restart(self):
        """Its next life, under the same id and address. It knows nothing of before."""
        self.born, self.started = int(time.time() * 1000), now()
        self.token = self.until = self.number = self.sequence = 0
        self.runs, self.highest, self.ended = {}, {}, []
        self.record(f"worker {self.name} is back, born {self.born}")
        ip, port = self.address.rsplit(":", 1)
        await self.http.listen(ip, int(port))
        self.tasks = [asyncio.ensure_future(self.beat()), asyncio.ensure_future(self.tick())]

    async def beat(self):
        while True:
            self.store.put("keyed.servers", self.name, self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    async def tick(self):
        while True:
            clock = self.clock()
            for task, run in list(self.runs.items()):
                if clock >= self.until:
                    self.end(task, "lapsed")
                elif run["stops_at"] is not None and clock >= run["stops_at"]:
                    self.end(task, "stopped")
                elif clock >= run["begun"] + run["work_ms"] - run["from"]:
                    self.end(task, "done")
            await asyncio.sleep(0.01)

    def saved(self, run):
        """The checkpoint of a run: one value for each save_s of work."""
        if not run["checkpoints"]:
            return ""
        worked = run["from"] + max(0, self.clock() - run["begun"])
        steps = worked // SAVE_MS
        return f"{steps * SAVE_MS:08x}{run['mark']:08x}" if steps else ""

    def end(self, task, how):
        run = self.runs.pop(task)
        self.highest[task] = max(self.highest.get(task, 0), run["run"])
        self.number += 1
        self.ended.append([self.number, task, run["run"], how, "" if how == "done" else self.saved(run)])
        self.log.append((now(), "end", task, run["run"], how))
        if self.recorded(task):
            self.record(f"worker {self.name}: run {run['run']} of {task} ended {how}")
        self.changed.set()
        self.changed = asyncio.Event()

    def lists(self):
        clock = self.clock()
        running = [[task, it["run"], self.saved(it), min(99, 100 * (it["from"] + clock - it["begun"]) // max(1, it["work_ms"])), 0]
                   for task, it in self.runs.items()]
        return {"clock_ms": clock, "born": self.born, "running": running, "ended": self.ended[:500]}

    def accept(self, token):
        if token < self.token:
            return False
        self.token = token
        return True

    def refuse(self, reason):
        return 409, {"clock_ms": self.clock(), "born": self.born, "reason": reason}

    def extend(self, until):
        self.until = max(self.until, min(until, self.clock() + HOLD_MAX_MS))

    async def handle(self, method, target, headers, body, peer):
        path = urlsplit(target).path
        if path == "/health":
            return 200, {}
        if headers.get("expected-instance", self.name) != self.name:
            return 421, {}
        call_body = json.loads(body or b"{}")
        if not self.accept(call_body.get("fencing_token", 0)):
            return self.refuse("fence")
        if path == "/citrongap/run-start":
            return self.start(call_body)
        if path == "/citrongap/run-stop":
            task, run = call_body["task"], call_body["run"]
            self.highest[task] = max(self.highest.get(task, 0), run)
            it = self.runs.get(task)
            if it and it["run"] <= run and it["stops_at"] is None:
                it["stops_at"] = self.clock() + 200
            return 200, {"clock_ms": self.clock(), "born": self.born}
        if path == "/citrongap/hold":
            if "until_ms" in call_body:
                self.extend(call_body["until_ms"])
            seen = call_body.get("seen_upto", 0)
            self.ended = [it for it in self.ended if it[0] > seen]
            deadline = now() + min(call_body.get("wait_ms", 0), 2000) / 1000
            while not self.ended and now() < deadline:
                try:
                    await asyncio.wait_for(self.changed.wait(), deadline - now())
                except asyncio.TimeoutError:
                    break
            return 200, self.lists()
        return 400, {"clock_ms": self.clock()}

    def start(self, it):
        task, run = it["task"], it["run"]
        spec = json.loads(it["task_spec"])
        if it["until_ms"] <= self.clock():
            return self.refuse("late")
        self.extend(it["until_ms"])
        if task in self.runs:
            if self.runs[task]["run"] == run:
                return 200, {"clock_ms": self.clock(), "born": self.born}
            return self.refuse("old")
        if run <= self.highest.get(task, 0):
            return self.refuse("old")
        if sum(other["gpu"] for other in self.runs.values()) + spec["gpu"] > self.gpus:
            return self.refuse("room")
        resumed = int(it["checkpoint"][:8], 16) if it.get("checkpoint") else 0
        self.runs[task] = {"run": run, "work_ms": spec["work_ms"], "gpu": spec["gpu"], "begun": self.clock(),
                           "stops_at": None, "checkpoints": spec.get("checkpoints", False), "from": resumed,
                           "mark": random.getrandbits(32)}
        self.starts.append((now(), task, run))
        self.log.append((now(), "start", task, run, ""))
        if self.recorded(task):
            self.record(f"worker {self.name}: run {run} of {task} started, fencing token {it['fencing_token']}")
        return 200, {"clock_ms": self.clock(), "born": self.born}


# ---------------------------------------------------------------- entry VMs

class EntryVm:
    def __init__(self, site, n):
        self.site, self.n, self.name = site, n, f"front-z-1-{n}"
        self.ip = site.ip(10 + n)
        self.ports = {name: free_port(self.ip) for name in ("callers", "readiness", "peers", "metrics")}
        self.callers = f"{self.ip}:{self.ports['callers']}"
        self.readiness = f"{self.ip}:{self.ports['readiness']}"
        self.settings = site.folder / f"{self.name}.ini"
        self.child = None

    def write_settings(self):
        fields = {
            "node_name": self.name, "zone": "z-1", "ip_address": self.ip,
            "listen_addresses.front": self.callers, "listen_addresses.ready": self.readiness,
            "listen_addresses.control": f"{self.ip}:{self.ports['peers']}",
            "seed_nodes": ",".join(f"{it.ip}:{it.ports['peers']}" for it in self.site.vms[:3]),
            "internal_port_range.1": self.ports["metrics"], "limits.memory_mb": 260,
            "limits.cpu_share": 0.25, "limits.link_mbps": 1000.0,
            "platform.address": self.site.store_address, "platform.min_ttl_ms": MIN_TTL_MS,
            "bounds.config_apply_ms": 2000, "bounds.outer_bound_ms": 5000, "bounds.drain_ms": 2000,
            "bounds.grace_s": 6, "bounds.hold_max_ms": HOLD_MAX_MS, "bounds.stop_ms": STOP_MS,
            "bounds.gang_ms": 3000, "bounds.reclaim_ms": 3400, "bounds.far_factor": 3,
            "heartbeat_interval_ms": 1500, "bounds.status_s": 120,
            "bounds.save_s": 2, "bounds.restore_ms": 250}
        text = (REPO / "deploy/settings.ini.template").read_text()
        for key, value in fields.items():
            text = text.replace("{{" + key + "}}", str(value))
        self.settings.write_text(text)

    def start(self):
        self.write_settings()
        self.log = open(self.site.folder / f"{self.name}.log", "a")
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env["CITRONGAP_CONFIG"] = str(self.settings)
        self.child = subprocess.Popen([str(REPO / PROGRAM[0])] + PROGRAM[1:], cwd=REPO, env=env,
                                      stdout=self.log, stderr=self.log)
        self.site.record(f"{self.name} started")

    def signal(self, number):
        self.site.record(f"{self.name} gets {signal.Signals(number).name}")
        self.child.send_signal(number)


def free_port(ip):
    import socket
    with socket.socket() as it:
        it.bind((ip, 0))
        return it.getsockname()[1]


class Site:
    """The store, workers and entry VMs of a small deployment."""

    def __init__(self, case, vms=2, workers=4, gpus=8, racks=1):
        self.case = Path(case)
        self.record = Record(case)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        pid = os.getpid()
        self.net = f"127.{1 + (pid >> 8) % 254}.{pid & 255}"
        self.store = Store(self.record)
        self.workers = [Worker(self.record, self.store, f"i-{n:08x}", f"m-{n:05x}", f"r1-{n % racks}", "render", gpus)
                        for n in range(workers)]
        self.shape = vms
        self.vms = []
        self.key = "key-quetta"
        self.host = "jobs.example"

    def ip(self, host):
        return f"{self.net}.{host}"

    def config(self, version=1):
        routes = [{"name": f"r-{name}", "host": self.host, "path_prefix": f"/{name}/", "route_kind": "unsafe",
                   "timeout_ms": 3000, "target_duration_ms": 1000, "priority": priority, "service": "render",
                   "max_attempts": 3, "stretch": 3.0, "public": False}
                  for name, priority in (("urgent", 0), ("batch", 1), ("extra", 2))]
        return {"version": version, "routes": routes,
                "services": [{"name": "render", "health_path": "/health", "max_connections": 64, "protocol": "h1",
                              "tls_enabled": False, "admission_check": True, "spare": False}],
                "tenants": [{"name": "quetta", "api_keys": [self.key], "guaranteed": {"gpu": 8}},
                            {"name": "lahore", "api_keys": ["key-lahore"], "guaranteed": {"gpu": 8}}],
                "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000}}

    async def start(self):
        if not (REPO / PROGRAM[0]).exists():
            raise RuntimeError("target/platform/citrongap_entry is missing: run the build of the deploy file")
        ip = self.ip(1)
        self.store_address = f"{ip}:{await self.store.http.listen(ip)}"
        self.store.put("keyed.op", "config", self.config())
        for n, it in enumerate(self.workers):
            await it.run(self.ip(100 + n))
        self.vms = [EntryVm(self, n) for n in range(self.shape)]
        for it in self.vms:
            it.start()
        for it in self.vms:
            await self.until_ready(it)
        for _ in range(100):
            self.store.expire()
            if self.store.owner:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("no entry VM owns the jobs' topic")

    async def until_ready(self, vm, seconds=10):
        until = now() + seconds
        while now() < until:
            status, _ = await call(vm.readiness, "GET", "/citrongap/readiness", timeout=1)
            if status == 200:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{vm.name} isn't ready")

    async def ask(self, vm, method, queue, job, body=None, key=None, timeout=3.0):
        status, got = await call(vm.callers, method, f"/{queue}/{job}",
                                 {"Host": self.host, "Api-Key": key or self.key, "Deadline-Ms": int(timeout * 1000)},
                                 body, timeout)
        self.record(f"client: {method} /{queue}/{job} at {vm.name}: {status} {json.dumps(got)[:150]}")
        return status, got

    @staticmethod
    def job(work_ms, gpu=8, count=1, **more):
        step = {"count": count, "cpu": 1000, "requested_memory_mb": 1024, "gpu": gpu, "estimated_ms": work_ms}
        step.update(more)
        spec = {"work_ms": work_ms, "gpu": gpu, "checkpoints": step.get("checkpoints", False)}
        return {"task_spec": json.dumps(spec), "steps": [{key: it for key, it in step.items() if it}]}

    def owner(self):
        """The entry VM that owns the jobs' topic, and one that doesn't."""
        self.store.expire()
        name = self.store.owner.split("/")[0]
        return (next(it for it in self.vms if it.name == name),
                next(it for it in self.vms if it.name != name))

    def events(self):
        return sorted(((at, worker, *rest) for worker in self.workers for at, *rest in worker.log),
                      key=lambda it: it[0])

    def stop(self):
        for it in self.vms:
            if it.child and it.child.poll() is None:
                it.child.send_signal(signal.SIGCONT)
                it.child.kill()
                it.child.wait()
        if os.environ.get("KEEP"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def new_id():
    return f"{random.getrandbits(64):016x}"


def main(case, play, **shape):
    """Plays a case: exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def go():
        site = Site(case, **shape)
        try:
            await asyncio.wait_for(site.start(), 25)
            broken = await asyncio.wait_for(play(site, trouble), 90)
            site.record(f"broken: {broken}" if broken else "the rule held")
            print(f"broken: {broken}" if broken else "the rule held")
            return 1 if broken else 0
        except Exception as error:
            site.record(f"couldn't run: {error!r}")
            print(f"couldn't run: {error!r}")
            return 2
        finally:
            site.stop()
    code = asyncio.run(go())
    sys.stdout.flush()
    os._exit(code)
