"""Stand-ins for the users' platform: the store, the workers, the callers' HTTP client, and the start of processes.

They follow the users' pages PROTOCOL.md and DEPLOY.md, as far as the cases need them. Everything listens on loopback
addresses that are chosen from the process id, so that cases can run side by side.
"""

import asyncio
import base64
import contextlib
import json
import os
import shutil
import signal
import sys
import tempfile
import time
from urllib.parse import parse_qsl

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "jobs.example"
QUEUE = "/q/"
SERVICE = "portal"

# Bounds of the site hlls-booking that the stand-ins need.
LEASE_MAX_MS = 6_000
STOP_S = 0.3
BEAT_S = 1.5
GANG_WAIT_S = 3.0
RESTORE_S = 0.6
CHECKPOINT_S = 2.0
PAGE_ROWS = 500
PAGE_ENDS = 500
STORE_ANSWER_S = 0.004

# Exit statuses of a case.
HELD, BROKEN, NOT_RUN = 0, 1, 2
# Longest play of a case; with the start and the end it stays below 120 s.
PLAY_MAX_S = 100


def now():
    return time.monotonic()


class Server:
    """HTTP/1.1 server. The handler returns (status, content), or None for no answer, or "reset"."""

    def __init__(self, handler):
        self.handler = handler
        self.writers = set()
        self.server = None

    async def listen(self, ip, port):
        self.server = await asyncio.start_server(self._serve, ip, port, backlog=1024)
        self.address = self.server.sockets[0].getsockname()[:2]

    def close(self):
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while await self._serve_request(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _serve_request(self, reader, writer):
        line = await reader.readline()
        if not line:
            return False
        method, path, _ = line.decode().split(" ", 2)
        headers = {}
        while True:
            line = (await reader.readline()).decode().strip()
            if not line:
                break
            name, value = line.split(":", 1)
            headers[name.lower()] = value.strip()
        length = int(headers.get("content-length", 0))
        body = await reader.readexactly(length) if length else b""
        answer = await self.handler(method, path, headers, body)
        if answer is None:
            await asyncio.sleep(3_600)
        if answer == "reset":
            writer.transport.abort()
            return False
        status, content = answer
        data = json.dumps(content).encode()
        head = f"HTTP/1.1 {status} -\r\ncontent-type: application/json\r\ncontent-length: {len(data)}\r\n\r\n"
        writer.write(head.encode() + data)
        await writer.drain()
        return True


async def call(address, method, path, content=None, timeout=3.0):
    """Makes an HTTP call on a connection of its own; returns (status, content), or None without an answer."""

    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            data = b"" if content is None else json.dumps(content).encode()
            head = (
                f"{method} {path} HTTP/1.1\r\nhost: {HOST}\r\nconnection: close\r\ndeadline-ms: {int(timeout * 1000)}\r\n"
                f"content-type: application/json\r\ncontent-length: {len(data)}\r\n\r\n"
            )
            writer.write(head.encode() + data)
            await writer.drain()
            status = int((await reader.readline()).split()[1])
            length = 0
            while True:
                line = (await reader.readline()).decode().strip().lower()
                if not line:
                    break
                if line.startswith("content-length:"):
                    length = int(line.split(":")[1])
            data = await reader.readexactly(length) if length else b"null"
            return status, json.loads(data)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return None


class Record:
    """Writes what was sent, answered and run to record.txt, one JSON object a line."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.began = now()
        self.events = []

    def add(self, kind, **fields):
        event = {"s": round(now() - self.began, 3), "kind": kind, **fields}
        self.events.append(event)
        self.file.write(json.dumps(event) + "\n")
        self.file.flush()


class Store:
    """Metadata store with rows, conditions and feeds."""

    def __init__(self):
        self.rows = {}
        self.removed = {}
        self.revision = 0
        self.changed = asyncio.Event()
        self.server = Server(self._handle)

    async def listen(self, ip):
        await self.server.listen(ip, 0)
        return self.server.address

    def write_config(self, version, queues=((QUEUE, SERVICE),), priority=0, enforces_capacity=True):
        routes = [
            {
                "name": f"queue-{number}", "host": HOST, "path_prefix": path, "service": service, "max_attempts": 3,
                "stretch": 2.0, "slo_ms": 500, "timeout_ms": 3_000, "priority": priority,
            }
            for number, (path, service) in enumerate(queues)
        ]
        services = [{"name": name, "enforces_capacity": enforces_capacity} for name in {service for _, service in queues}]
        content = {"version": version, "routes": routes, "services": services, "limits": {}}
        value = base64.b64encode(json.dumps(content).encode()).decode()
        self._apply({"writes": [{"table": "op", "part": "", "key": "config", "value": value}]})

    async def _handle(self, method, path, headers, body):
        await asyncio.sleep(STORE_ANSWER_S)
        path, _, query = path.partition("?")
        query = dict(parse_qsl(query, keep_blank_values=True))
        if path == "/rows-tx":
            return self._apply(json.loads(body))
        if path == "/rows-get":
            return self._read(query)
        if path == "/rows-feed":
            return await self._feed(query)
        return 404, {}

    @staticmethod
    def _key(row):
        return row["table"], row.get("part", ""), row["key"]

    def _row(self, key):
        if key not in self.rows:
            return None
        value, revision = self.rows[key]
        return {"table": key[0], "part": key[1], "key": key[2], "value": value, "revision": revision}

    def _apply(self, transaction):
        expect, writes, remove = (transaction.get(name, []) for name in ("expect", "writes", "remove"))
        entries = expect + writes + remove
        is_large = len(entries) > 100 or sum(len(row["value"]) for row in writes) > 1_000_000
        if is_large or len({self._key(row)[1] for row in entries}) > 1 or any(len(row["value"]) > 65_536 for row in writes):
            return 400, {}
        if any(self.rows.get(self._key(row), ("", 0))[1] != row["revision"] for row in expect):
            rows = [row for row in (self._row(self._key(row)) for row in expect) if row]
            return 412, {"rows": rows, "revision": self.revision}
        self.revision += 1
        for row in writes:
            self.rows[self._key(row)] = (row["value"], self.revision)
            self.removed.pop(self._key(row), None)
        for row in remove:
            if self.rows.pop(self._key(row), None):
                self.removed[self._key(row)] = self.revision
        self.changed.set()
        self.changed = asyncio.Event()
        return 200, {"revision": self.revision}

    def _read(self, query):
        limit = min(int(query.get("limit") or PAGE_ROWS), PAGE_ROWS)
        table, part, start = query["table"], query.get("part", ""), query.get("from", "")
        keys = sorted(key for key in self.rows if key[0] == table and key[1] == part and key[2] >= start)
        rows = [self._row(key) for key in keys[:limit]]
        return 200, {"rows": rows, "has_more": len(keys) > limit, "revision": self.revision}

    async def _feed(self, query):
        table, after, due = query["table"], int(query["after"]), now() + int(query["wait_ms"]) / 1_000
        while True:
            changed = self.changed
            rows = [self._row(key) for key, (_, revision) in self.rows.items() if key[0] == table and revision > after]
            rows += [
                {"table": key[0], "part": key[1], "key": key[2], "revision": revision, "deleted": True}
                for key, revision in self.removed.items()
                if key[0] == table and revision > after
            ]
            if rows or now() >= due:
                rows.sort(key=lambda row: row["revision"])
                return 200, {"rows": rows[:PAGE_ROWS], "has_more": len(rows) > PAGE_ROWS, "revision": self.revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(changed.wait(), max(0.001, due - now()))


class Worker:
    """Worker of one machine. Each life has an id of its own; `steps` tells the step of a task by its name.

    A step may have, besides the fields of the wire: `work_s`, how long its tasks work, and `crash_at_s`, the work after
    which they crash the worker.
    """

    def __init__(self, ip, agent, steps, record, cpu=32_000, mem_mb=128_000, rack="r1-1"):
        self.ip, self.agent, self.steps, self.record = ip, agent, steps, record
        self.cpu, self.mem_mb, self.rack = cpu, mem_mb, rack
        self.lives = 0
        self.alive = False
        self.server = None

    async def start(self):
        self.lives += 1
        self.id = f"i-{self.ip.replace('.', '-')}-{self.lives}"
        self.born, self.began, self.sequence = int(time.time() * 1_000), now(), 0
        self.fence, self.lease_end_ms, self.last_end, self.lapsed_at = 0, 0, 0, None
        self.runs, self.ends, self.finished, self.ended, self.ended_at = {}, [], {}, asyncio.Event(), {}
        self.server = Server(self._handle)
        await self.server.listen(self.ip, 8_360)
        self.alive = True
        self.record.add("worker_up", worker=self.id)
        for task in (self._report(self.lives), self._tick(self.lives)):
            asyncio.ensure_future(task)

    def crash(self):
        self.alive = False
        self.server.close()
        self.record.add("worker_crashed", worker=self.id, runs=[list(run) for run in self.runs])
        self.runs = {}

    async def crash_and_restart(self, after_s):
        self.crash()
        await asyncio.sleep(after_s)
        await self.start()

    def _is_life(self, life):
        return self.alive and self.lives == life

    def _clock_ms(self):
        return int((now() - self.began) * 1_000)

    async def _report(self, life):
        while self._is_life(life):
            self.sequence += 1
            report = {
                "service": SERVICE, "address": f"{self.ip}:8360", "zone": "zone-1", "version": "v1", "slots": 8,
                "state": "ready", "cold_ms": 0, "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpu": 0},
                "labels": ["a", self.rack], "clock_ms": self._clock_ms(), "seq": self.sequence, "born": self.born,
            }
            answer = await call(self.agent, "PUT", f"/instances/{self.id}", report, timeout=1.0)
            await asyncio.sleep(BEAT_S if answer else 0.3)

    async def _tick(self, life):
        while self._is_life(life):
            await asyncio.sleep(0.02)
            if self._clock_ms() >= self.lease_end_ms:
                self.lapsed_at = now()
            for run in list(self.runs):
                if self._is_life(life) and run in self.runs:
                    self._advance(run)

    def _advance(self, run):
        state, step = self.runs[run], self.steps(run[0])
        if self._clock_ms() >= self.lease_end_ms:
            self._end(run, "lapsed")
            return
        if state["stop_at"] is not None:
            if now() >= state["stop_at"]:
                self._end(run, "stopped")
            return
        worked_s = max(0.0, now() - state["began"] - (RESTORE_S if state["base_s"] else 0.0))
        total_s = state["base_s"] + worked_s
        if step.get("crash_at_s") is not None and total_s >= step["crash_at_s"]:
            asyncio.ensure_future(self.crash_and_restart(step["back_after_s"]))
            return
        if step.get("long_running"):
            state["percent"] = 100 if worked_s > 0.3 else 0
            return
        state["percent"] = min(99, int(100 * total_s / step["work_s"]))
        if step.get("checkpointing") and worked_s >= (state["saves"] + 1) * CHECKPOINT_S:
            state["saves"] += 1
            state["saved"] = f"{int(total_s * 1_000):08d}"
        if total_s >= step["work_s"]:
            self._end(run, "done")

    def _end(self, run, how):
        state = self.runs.pop(run)
        self.finished[run[0]] = max(run[1], self.finished.get(run[0], 0))
        self.last_end += 1
        self.ends.append([self.last_end, run[0], run[1], how, "" if how == "done" else state["saved"]])
        self.ended_at[self.last_end] = now()
        self.record.add("run_ended", worker=self.id, task=run[0], run=run[1], how=how)
        self.ended.set()
        self.ended = asyncio.Event()

    def _admit(self, order):
        if order.get("fence_token", 0) < self.fence:
            return False
        self.fence = order.get("fence_token", 0)
        if order.get("deadline_ms") is not None:
            self.lease_end_ms = max(self.lease_end_ms, min(order["deadline_ms"], self._clock_ms() + LEASE_MAX_MS))
        return True

    def _answer(self, status, reason=None):
        content = {"clock_ms": self._clock_ms(), "born": self.born}
        return status, {**content, "reason": reason} if reason else content

    def _start_run(self, order):
        if not self._admit(order):
            return self._answer(409, "fence")
        run = (order["task"], order["run_id"])
        if run in self.runs:
            return self._answer(200)
        if run[1] <= self.finished.get(run[0], 0):
            return self._answer(409, "old")
        if self._clock_ms() >= order["deadline_ms"]:
            return self._answer(409, "late")
        step = self.steps(run[0])
        held = [self.steps(task) for task, _ in self.runs] + [step]
        if sum(s.get("cpu", 0) for s in held) > self.cpu or sum(s.get("mem_mb", 0) for s in held) > self.mem_mb:
            return self._answer(409, "room")
        saved = order.get("checkpoint", "")
        self.runs[run] = {
            "began": now(), "stop_at": None, "saved": saved, "base_s": int(saved) / 1_000 if saved else 0.0,
            "saves": 0, "percent": 0,
        }
        self.record.add("run_started", worker=self.id, task=run[0], run=run[1], checkpoint=saved)
        return self._answer(200)

    def _stop_run(self, order):
        if not self._admit(order):
            return self._answer(409, "fence")
        run = (order["task"], order["run_id"])
        if run in self.runs and self.runs[run]["stop_at"] is None:
            self.runs[run]["stop_at"] = now() + STOP_S
        self.finished[run[0]] = max(run[1], self.finished.get(run[0], 0))
        return self._answer(200)

    async def _hold(self, order):
        life = self.lives
        if not self._admit(order):
            return self._answer(409, "fence")
        for number, task, run, how, _ in self.ends:
            # An end isn't taken note of when the lease has lapsed since.
            is_noted = self.lapsed_at is None or self.lapsed_at < self.ended_at[number]
            if number <= order.get("ack_cursor", 0) and is_noted:
                self.record.add("end_noted", worker=self.id, task=task, run=run, how=how)
        self.ends = [end for end in self.ends if end[0] > order.get("ack_cursor", 0)]
        due = now() + order.get("wait_ms", 0) / 1_000
        while not self.ends and now() < due and self._is_life(life):
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.ended.wait(), max(0.001, due - now()))
        if not self._is_life(life):
            return "reset"
        running = [[task, run, state["saved"], state["percent"], 0] for (task, run), state in self.runs.items()]
        lists = {"running": running, "finished": self.ends[:PAGE_ENDS]}
        return 200, {"clock_ms": self._clock_ms(), "born": self.born, **lists}

    async def _handle(self, method, path, headers, body):
        if headers.get("target-instance", self.id) != self.id:
            return 421, {}
        order = json.loads(body or b"{}")
        if path == "/run-start":
            return self._start_run(order)
        if path == "/run-stop":
            return self._stop_run(order)
        if path == "/hold":
            return await self._hold(order)
        if path == "/pace":
            return self._answer(200) if self._admit(order) else self._answer(409, "fence")
        return 404, {}


class Process:
    """An entry or an agent, started with the command of the deploy file."""

    def __init__(self, role, number, ip, store, folder):
        self.role, self.ip, self.name = role, ip, f"{role}-{number}"
        self.front = (ip, 8_161)
        self.memory_mb = 260 if role == "entry" else 128
        self.child = None
        self.folder = folder
        links, readiness, operators = (f"{ip}:{port}" for port in (7_720, 8_167, 7_735))
        common = {
            "operators_address": operators, "store_address": f"{store[0]}:{store[1]}", "memory_mb": self.memory_mb,
            "descriptors_max": 4_100,
        }
        if role == "entry":
            settings = {
                "entry": {
                    "name": self.name, "links_address": links, "processor_share": 0.25,
                    "worker_lease_max_ms": LEASE_MAX_MS, "configuration_apply_ms": 2_000,
                    "cancellation_apply_ms": 3_000, "ended_jobs_kept_s": 120, "stop_timeout_s": 6.0,
                },
                "callers_address": f"{ip}:8161", "readiness_address": readiness, **common,
            }
        else:
            settings = {
                "agent": {
                    "name": self.name, "links_address": links, "latency_harm_after_ms": 4_000, "stop_timeout_s": 6.0,
                },
                "registration_address": f"{ip}:8161", **common,
            }
        self.settings = os.path.join(folder, f"{self.name}.json")
        with open(self.settings, "w") as file:
            json.dump(settings, file)

    async def start(self):
        command = deploy_command(self.role)
        with open(os.path.join(self.folder, f"{self.name}.log"), "ab") as log:
            self.child = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env={"PATH": os.environ.get("PATH", ""), "CHERVILLEDGE_CONFIG": self.settings},
                stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
            )

    def is_running(self):
        return self.child is not None and self.child.returncode is None

    def send(self, number):
        if self.is_running():
            with contextlib.suppress(ProcessLookupError):
                self.child.send_signal(number)

    async def kill(self):
        self.send(signal.SIGKILL)
        if self.child:
            await self.child.wait()

    def memory_used_mb(self):
        """Resident memory; 0 if the process isn't running."""
        try:
            with open(f"/proc/{self.child.pid}/status") as status:
                return next(int(line.split()[1]) / 1_024 for line in status if line.startswith("VmRSS:"))
        except (OSError, StopIteration, AttributeError):
            return 0.0


def deploy_command(role):
    """Command of a role in the deploy file, with the program's whole path."""
    with open(os.path.join(ROOT, "deploy", "system.toml")) as file:
        lines = file.read().split(f"[roles.{role}]")[1].splitlines()
    run = next(line.split('"')[1] for line in lines if line.startswith("run = "))
    program, *arguments = run.split()
    return [os.path.join(ROOT, program), *arguments]


class Deployment:
    """Store, entries, agents and workers of one case."""

    def __init__(self, case_folder, entries, agents):
        self.record = Record(case_folder)
        self.counts = (entries, agents)
        self.folder = tempfile.mkdtemp(prefix="chervilledge-review-")
        self.store = Store()
        self.jobs = {}
        self.entries, self.agents, self.workers = [], [], []

    def step_of(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job][int(step)]

    async def start(self):
        pid = os.getpid()
        net = f"127.{64 + pid // 256 % 128}.{pid % 256}"
        store = await self.store.listen(f"{net}.1")
        self.store.write_config(1)
        entries, agents = self.counts
        self.entries = [Process("entry", number, f"{net}.{10 + number}", store, self.folder) for number in range(entries)]
        self.agents = [Process("agent", number, f"{net}.{40 + number}", store, self.folder) for number in range(agents)]
        for number, agent in enumerate(self.agents):
            worker = Worker(f"{net}.{100 + number}", agent.front, self.step_of, self.record, rack=f"r1-{number // 3}")
            self.workers.append(worker)
        for process in self.entries + self.agents:
            await process.start()
        for worker in self.workers:
            await worker.start()
        until = now() + 10
        while now() < until:
            ready = [await call((entry.ip, 8_167), "GET", "/readyz", timeout=1.0) for entry in self.entries]
            if all(answer and answer[0] == 200 for answer in ready):
                return
            await asyncio.sleep(0.2)
        raise RuntimeError("the entries aren't ready after 10 s")

    async def submit(self, entry, job, steps, spec="x", **schedule):
        """Submits a job once; returns the status, or None without an answer."""
        self.jobs[job] = steps
        private = ("work_s", "crash_at_s", "back_after_s")
        wire = [{name: value for name, value in step.items() if name not in private} for step in steps]
        answer = await call(entry.front, "POST", QUEUE + job, {"spec": spec, "steps": wire, **schedule})
        status = answer and answer[0]
        self.record.add("submitted", job=job, entry=entry.name, status=status)
        return status

    async def placer(self):
        """Entry that places, by its own state dump; None if none says so."""
        for entry in self.entries:
            answer = await call((entry.ip, 7_735), "GET", "/dump", timeout=1.0)
            if answer and answer[0] == 200 and answer[1].get("placer"):
                return entry
        return None

    async def state(self, entry, job):
        """State of a job, or None if it isn't told."""
        answer = await call(entry.front, "GET", QUEUE + job)
        state = answer[1].get("state") if answer and answer[0] == 200 else None
        self.record.add("state", job=job, entry=entry.name, status=answer and answer[0], state=state)
        return state

    async def stop(self):
        for process in self.entries + self.agents:
            await process.kill()
        for worker in self.workers:
            if worker.alive:
                worker.alive = False
                worker.server.close()
        self.store.server.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(case_folder, play, entries, agents):
    """Runs a case, which returns its exit status, and ends all that it started."""
    has_trouble = os.environ.get("TROUBLE") != "0"

    async def whole():
        deployment = Deployment(case_folder, entries, agents)
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            await deployment.start()
            return await asyncio.wait_for(play(deployment, has_trouble), PLAY_MAX_S)
        except (Exception, asyncio.CancelledError) as error:
            print(f"the case couldn't run: {error!r}", file=sys.stderr)
            return NOT_RUN
        finally:
            await deployment.stop()

    status = asyncio.run(whole())
    sys.stdout.flush()
    os._exit(status)
