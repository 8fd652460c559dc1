"""A small deployment on loopback: the project's programs, and stand-ins for all that they meet.

The commands come from `deploy/system.toml`. The clients, workers and the operator are small ones of
this folder; they do what the users' pages say and nothing else. A `Link` is a proxy between two
parties that can hold up what passes it, as a partition does.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
FRONT, READY, CONTROL, FIRST_PORT = 8521, 8523, 8526, 7000
HOST, KEY = "nony24.example", "d4a3hwrr6x73d3zji9n7"
PREFIX, SERVICE = "/lohu930/", "huvo11a"
CASE_S = 105
"""A case that takes longer could not run; ending its processes takes a few seconds more."""


class Record:
    """The file that tells what was sent, answered and run."""

    def __init__(self, path):
        self._file = path.open("w")
        self._began = time.monotonic()

    def __call__(self, *words):
        """Write one line."""
        line = f"{time.monotonic() - self._began:8.3f} " + " ".join(str(word) for word in words)
        self._file.write(line + "\n")
        self._file.flush()


class CannotRun(Exception):
    """The case could not be brought to the point where the rule is checked."""


async def read_message(reader):
    """Read one HTTP/1.1 message with a body of a stated length; None at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin1").split("\r\n")
    headers = {}
    for line in lines:
        name, found, value = line.partition(":")
        if found:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first, headers, body


async def http_call(address, method, path, body=None, headers=None, timeout_s=3.0):
    """Send one call on a channel of its own; return (status, body), or (None, reason)."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            ip, port = address.rsplit(":", 1)
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(encode_request(method, path, body, headers, address))
            first, _, answer = await read_message(reader)
            return int(first.split()[1]), answer
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError) as exc:
        return None, type(exc).__name__.encode()
    finally:
        if writer is not None:
            writer.close()


def encode_request(method, path, body, headers, host):
    """Return the bytes of a request with a JSON body."""
    data = b"" if body is None else json.dumps(body).encode()
    lines = [f"{method} {path} HTTP/1.1"]
    fields = {"Host": host, "Content-Length": len(data), "Content-Type": "application/json"}
    lines += [f"{name}: {value}" for name, value in (fields | (headers or {})).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + data


class Link:
    """A proxy for one party's channels; while it is cut, nothing passes.

    What was sent on a channel that was open before arrives when the cut has ended. A channel that
    is opened during a cut never gets through, as its first packet is dropped.
    """

    def __init__(self, record, name):
        self._record, self._name = record, name
        self._open = asyncio.Event()
        self._open.set()
        self._servers = []
        self._tasks = set()
        self.addresses = {}

    async def listen(self, ip, target, port=0):
        """Forward channels to `target`; return the address to connect to."""

        async def serve(reader, writer):
            self._tasks.add(asyncio.current_task())
            try:
                await self._serve(reader, writer, target)
            except asyncio.CancelledError:
                writer.close()

        server = await asyncio.start_server(serve, ip, port)
        self._servers.append(server)
        address = "%s:%d" % server.sockets[0].getsockname()[:2]
        self.addresses[target] = address
        return address

    def cut(self):
        """Let nothing pass from now on."""
        self._record("link", self._name, "cut")
        self._open.clear()

    def heal(self):
        """Let all pass again, beginning with what was held up."""
        self._record("link", self._name, "healed")
        self._open.set()

    async def _serve(self, reader, writer, target):
        if not self._open.is_set():
            await self._open.wait()
            writer.transport.abort()
            return
        try:
            ip, port = target.rsplit(":", 1)
            far_reader, far_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(self._pump(reader, far_writer), self._pump(far_reader, writer))

    async def _pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self._open.wait()
                writer.write(data)
                await writer.drain()
            await self._open.wait()
            writer.close()
        except OSError:
            writer.transport.abort()

    async def close(self):
        """Close all."""
        for server in self._servers:
            server.close()
        for task in self._tasks:
            task.cancel()


class Worker:
    """A sound worker: it runs what it is told, holds a lease, and reports about itself."""

    def __init__(self, record, id, ip, zone, labels, controls, link, rng):
        self.record, self.id, self.ip, self.zone, self.labels = record, id, ip, zone, labels
        self.controls, self.link, self.rng = controls, link, rng
        self.born = int(time.time() * 1000)
        self.clock_start = time.monotonic() - 60.0
        self.state = "ready"
        self.sequence = 0
        self.token = 0
        self.deadline = 0
        self.running, self.finished, self.ended_runs = {}, [], {}
        self.next_end = 1
        self.changed = asyncio.Event()
        self.address = ""
        self.beat_to = None
        self._channel = None
        self._tasks = []

    @property
    def clock_ms(self):
        """Return the time on the worker's own steady clock."""
        return int((time.monotonic() - self.clock_start) * 1000)

    async def start(self):
        """Serve orders, and begin to report."""
        self._server = await asyncio.start_server(self._serve, self.ip, 0)
        own = "%s:%d" % self._server.sockets[0].getsockname()[:2]
        self.address = await self.link.listen(self.ip, own)
        self._tasks = [asyncio.create_task(self._report()), asyncio.create_task(self._lapse())]

    async def stop(self):
        """End."""
        for task in self._tasks:
            task.cancel()
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            while True:
                first, headers, body = await read_message(reader)
                status, answer = await self._answer(first.split()[1], headers, body)
                answer["clockMs"] = self.clock_ms
                answer["born"] = self.born
                data = json.dumps(answer).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                writer.write(f"{head}Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            writer.close()

    async def _answer(self, path, headers, body):
        order = json.loads(body)
        if headers.get("target-instance") != self.id:
            return 421, {}
        if order.get("fencingToken", 0) < self.token:
            return 409, {"reason": "fence"}
        self.token = order.get("fencingToken", 0)
        match path.rpartition("/")[2]:
            case "run-start":
                return self._run_start(order)
            case "run-stop":
                self._end(order["task"], order["run"], "stopped")
                known = self.ended_runs.get(order["task"], 0)
                self.ended_runs[order["task"]] = max(known, order["run"])
                return 200, {}
            case "hold":
                return await self._hold(order)
        return 400, {}

    def _run_start(self, order):
        task, run = order["task"], order["run"]
        if task in self.running and self.running[task]["run"] == run:
            return 200, {}
        if order["deadlineMs"] <= self.clock_ms:
            return 409, {"reason": "late"}
        self._extend(order["deadlineMs"])
        if run <= self.ended_runs.get(task, 0) or task in self.running:
            return 409, {"reason": "old"}
        self.record("worker", self.id, "starts", task, "run", run)
        work = json.loads(order["spec"]).get("work_s", 1.0)
        self.running[task] = {"run": run, "began": time.monotonic(), "work": work}
        asyncio.get_running_loop().call_later(work, self._end, task, run, "done")
        return 200, {}

    def _extend(self, deadline_ms):
        self.deadline = max(self.deadline, min(deadline_ms, self.clock_ms + 10_000))

    def _end(self, task, run, how):
        if task not in self.running or self.running[task]["run"] != run:
            return
        del self.running[task]
        self.ended_runs[task] = max(self.ended_runs.get(task, 0), run)
        self.finished.append([self.next_end, task, run, how, ""])
        self.next_end += 1
        self.record("worker", self.id, "ends", task, "run", run, how)
        self.changed.set()

    async def _hold(self, order):
        if "deadlineMs" in order:
            self._extend(order["deadlineMs"])
        cursor = order.get("ackCursor", 0)
        self.finished = [each for each in self.finished if each[0] > cursor]
        if order.get("waitMs") and not self.finished:
            self.changed.clear()
            try:
                async with asyncio.timeout(order["waitMs"] / 1000):
                    await self.changed.wait()
            except TimeoutError:
                pass
        rows = []
        for task, each in self.running.items():
            percent = min(99, int(100 * (time.monotonic() - each["began"]) / each["work"]))
            rows.append([task, each["run"], "", percent, 100])
        return 200, {"running": rows, "finished": self.finished[:500]}

    async def _lapse(self):
        while True:
            await asyncio.sleep(0.05)
            if self.running and self.clock_ms > self.deadline:
                for task, each in list(self.running.items()):
                    self._end(task, each["run"], "lapsed")

    async def _report(self):
        """Report each 1.5 s; without an answer within a second, call the next node."""
        while True:
            tries = [self.beat_to] if self.beat_to else []
            tries += self.rng.sample(self.controls, len(self.controls))
            for control in tries:
                if await self._report_to(control):
                    break
                self.beat_to = None
            await asyncio.sleep(1.5)

    def report(self):
        """Return what the worker says of itself now."""
        self.sequence += 1
        return {
            "service": SERVICE, "address": self.address, "zone": self.zone, "version": "v1",
            "slots": 8, "state": self.state, "coldRemainingMs": 0,
            "capacity": {"cpu": 64000, "memMb": 262144, "gpu": 8}, "labels": self.labels,
            "machine": f"m-{self.id}", "born": self.born, "clockMs": self.clock_ms,
            "sequence": self.sequence,
        }  # fmt: skip

    async def _report_to(self, control):
        """Send one report, on the channel of the last one if it went to the same node."""
        writer = None
        body = self.report()
        what = f"report {body['sequence']} clock {body['clockMs']} to {control}:"
        try:
            async with asyncio.timeout(1.0):
                if self._channel is not None and self._channel[0] == control:
                    _, reader, writer = self._channel
                else:
                    ip, port = self.link.addresses[control].rsplit(":", 1)
                    reader, writer = await asyncio.open_connection(ip, int(port))
                self._channel = None
                path = f"/agateferry/instances/{self.id}"
                writer.write(encode_request("PUT", path, body, None, control))
                first, _, answer = await read_message(reader)
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as exc:
            self.record("worker", self.id, what, type(exc).__name__)
            if writer is not None:
                writer.close()
            return False
        status = int(first.split()[1])
        self.record("worker", self.id, what, status)
        if status == 200:
            url = json.loads(answer).get("heartbeatUrl")
            self.beat_to = url if url in self.controls else control
            if self.beat_to == control:
                self._channel = (control, reader, writer)
                return True
        writer.close()
        return status == 200


class System:
    """The processes of the project, and the addresses where they listen."""

    def __init__(self, record, cores=3, fronts=2):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="agateferry-case-"))
        base = self._free_base(cores + fronts)
        zones = {"bergen-a": "vestland", "voss-b": "vestland", "sogn-c": "vestland"}
        self.zones = list(zones)
        self.nodes = {}
        ips = [f"{base}.{number}" for number in range(1, cores + fronts + 1)]
        self.controls = [f"{ip}:{CONTROL}" for ip in ips[:cores]]
        self.fronts = [f"{ip}:{FRONT}" for ip in ips[cores:]]
        self.worker_base = base
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        for number, ip in enumerate(ips):
            is_core = number < cores
            role = "cell" if is_core else "entry"
            name = f"{'core' if is_core else 'front'}-{number + 1}"
            settings = self._settings(name, role, ip, self.zones[number % 3], zones, is_core)
            self.nodes[name] = {
                "run": deploy["roles"][role]["run"].split(), "settings": settings,
                "ip": ip, "process": None,
            }  # fmt: skip

    def _free_base(self, count):
        for _ in range(50):
            base = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
            try:
                for number in range(1, count + 1):
                    for port in (FRONT, READY, CONTROL, FIRST_PORT):
                        with socket.socket() as probe:
                            probe.bind((f"{base}.{number}", port))
                return base
            except OSError:
                continue
        raise CannotRun("no free addresses")

    def _settings(self, name, role, ip, zone, zones, is_core):
        endpoints = (
            {"control": f"{ip}:{CONTROL}"}
            if is_core
            else {"front": f"{ip}:{FRONT}", "readinessAddr": f"{ip}:{READY}"}
        )
        data = None
        if is_core:
            data = self.folder / name
            data.mkdir()
        return {
            "nodeName": name, "role": role, "machineClass": "core" if is_core else "front",
            "serves": ["control"] if is_core else ["front"], "ip": ip, "zone": zone,
            "region": "vestland", "zones": zones, "endpoints": endpoints,
            "internalPortRange": [FIRST_PORT, FIRST_PORT + 15], "seeds": self.controls[:3],
            "bootstrap": True, "inTolerance": is_core,
            "limits": {"cpuShare": 0.7, "cores": 3, "memoryMb": 300, "maxFds": 4096,
                       "linkMbps": 1000.0, "diskMb": 128 if is_core else 0},
            "dataDir": str(data) if data else None, "discovery": "registry", "entryPoint": "vip",
            "heartbeatMs": 1500, "config_mode": "highest", "orders": "invocation",
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": {"seedLagS": 3, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4,
                       "drainMs": 2000, "graceS": 6, "configApplyMs": 2000, "revokeMs": 5000,
                       "recoveryS": 12, "maxHoldMs": 10000, "stopTimeoutMs": 900,
                       "cancel_ms": 3000, "visible_ms": 3000, "finish_s": 14, "leaseMs": 3000,
                       "reclaimMs": 3400, "strictRevocation": True, "gangTimeoutMs": 3000},
        }  # fmt: skip

    def start(self, name):
        """Start the process of one node."""
        node = self.nodes[name]
        path = self.folder / f"{name}.yaml"
        path.write_text(json.dumps(node["settings"]))
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env |= {"AGATEFERRY_CONFIG": str(path), "PYTHONPATH": str(ROOT / "target/deps")}
        log = (self.folder / f"{name}.log").open("ab")
        node["process"] = subprocess.Popen(
            node["run"], cwd=ROOT, env=env, stdout=log, stderr=log, stdin=subprocess.DEVNULL
        )
        node["settings"]["bootstrap"] = False
        self.record("system", name, "started")

    async def until(self, check, timeout_s, what):
        """Wait until a check holds."""
        due = time.monotonic() + timeout_s
        while time.monotonic() < due:
            if await check():
                return
            await asyncio.sleep(0.2)
        raise CannotRun(f"{what}: not within {timeout_s} s")

    async def put_manifest(self, manifest):
        """Send a manifest until it is acknowledged, as an operator does."""

        async def is_acknowledged():
            for control in self.controls:
                status, _ = await http_call(
                    control, "PUT", "/agateferry/config", manifest, timeout_s=1.0
                )
                self.record("operator", "manifest", manifest["version"], "->", status)
                if status == 200:
                    return True
            return False

        await self.until(is_acknowledged, 30, "the manifest")

    async def until_ready(self):
        """Wait until all entries are ready."""

        async def is_ready():
            for front in self.fronts:
                ip = front.partition(":")[0]
                status, _ = await http_call(f"{ip}:{READY}", "GET", "/agateferry/ready")
                if status != 200:
                    return False
            return True

        await self.until(is_ready, 30, "the entries")

    def close(self):
        """End all processes."""
        processes = [node["process"] for node in self.nodes.values() if node["process"]]
        for process in processes:
            process.kill()
        for process in processes:
            process.wait()
        if os.environ.get("KEEP"):
            print("logs in", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def manifest(version=7):
    """Return a manifest with one queue, one service and one tenant."""
    return {
        "version": version,
        "routes": [
            {"name": "r-ce7ejsm", "host": HOST, "pathPrefix": PREFIX, "kind": "unsafe",
             "timeoutMs": 3000, "targetLatencyMs": 1000, "priority": 1, "service": SERVICE,
             "attempts": 3, "stretch": 3.0, "public": False},
        ],
        "services": [
            {"name": SERVICE, "healthPath": "/health", "maxConnections": 64, "protocol": "h1",
             "tls": False, "enforcesCapacity": False, "standby": False},
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
        "tenants": [{"name": "kaje80", "apiKeys": [KEY], "priority": 1, "reserved": {"gpu": 8}}],
    }  # fmt: skip


class Client:
    """A caller that submits jobs and asks for their state."""

    def __init__(self, record, fronts):
        self._record, self._fronts = record, fronts

    async def call(self, method, id, body=None):
        """Send one call, to the other entries if it gets no clear answer."""
        for number in range(6):
            front = self._fronts[number % len(self._fronts)]
            status, answer = await http_call(
                front, method, PREFIX + id, body,
                {"Host": HOST, "Authorization": f"Token {KEY}", "Request-Deadline-Ms": 3000},
            )  # fmt: skip
            self._record("client", method, id, "->", status, answer.decode(errors="replace"))
            if status in (200, 410):
                return status, json.loads(answer or b"{}")
            await asyncio.sleep(0.5)
        return status, {}


def main(case):
    """Run a case; exit with 1 if the rule was broken, 0 if it held, and 2 for anything else.

    A case that is told to end, or meets an error of any kind, could not run. It ends its processes
    itself, in a `finally`.
    """
    exit_code = 2
    try:
        record = Record(Path(sys.argv[1]).resolve() / "record.txt")
        has_trouble = os.environ.get("TROUBLE", "1") != "0"
        fault = asyncio.run(_run_limited(case, record, has_trouble))
        result = fault or "the rule held"
        record("case", result)
        print(result)
        exit_code = 1 if fault else 0
    except BaseException as exc:
        print("could not run:", type(exc).__name__, exc)
    sys.exit(exit_code)


async def _run_limited(case, record, has_trouble):
    """Run a case for `CASE_S` at most; SIGTERM and SIGINT end it before."""
    loop, task = asyncio.get_running_loop(), asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    try:
        async with asyncio.timeout(CASE_S):
            return await case(record, has_trouble)
    except BaseException as exc:
        record("case", "could not run:", type(exc).__name__, exc)
        raise
