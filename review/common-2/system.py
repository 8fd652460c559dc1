"""Start a small deployment on loopback addresses, with stand-ins for the platform around it.

The programs are started with the `run` commands of deploy/system.toml, as the platform does: at
the root of the repository, with the folder of the build's dependencies on Python's path.
"""

import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HERE = Path(__file__).resolve().parent
FRONT, CONTROL, READY, WORKER = 8521, 8526, 8523, 8080
INTERNAL = [7000, 7015]
HOST, PREFIX, SERVICE, KEY = "nony24.example", "/lohu930/", "huvo11a", "d4a3hwrr6x73d3zji9n7"
ZONES = ["jumla", "simikot", "birendranagar"]
BOUNDS = {
    "seedLagS": 3,
    "contactMs": 3000,
    "ackMs": 4000,
    "drainMs": 2000,
    "graceS": 6.0,
    "configApplyMs": 2000,
    "maxHoldMs": 10000,
    "stopTimeoutMs": 400,
    "gangTimeoutMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "leaseMs": 3000,
    "reclaimMs": 2900,
}


MAX_S = 110
"""After this time a case gives up; it may run for 120 seconds."""


class CannotRun(Exception):
    """The case could not run."""


class System:
    """The processes of one case, and the record of what was sent, answered and run."""

    def __init__(self, record, cells=3, entries=1, workers=8):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.temporary = Path(tempfile.mkdtemp(prefix="agateferry-case-"))
        self.record_file = open(record, "w")
        self.began = time.time()
        self.net = self._free_net()
        self.processes = {}
        self.commands = {}
        self.cell_ips = [f"{self.net}.{10 + n}" for n in range(cells)]
        self.entry_ips = [f"{self.net}.{40 + n}" for n in range(entries)]
        self.control = [f"{ip}:{CONTROL}" for ip in self.cell_ips]
        self.workers = [f"i-{n:02d}" for n in range(workers)]
        self.version = 0
        with open(ROOT / "deploy/system.toml", "rb") as file:
            self.roles = tomllib.load(file)["roles"]

    def _free_net(self):
        for _ in range(50):
            net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
            try:
                for last in (10, 11, 12, 40, 100):
                    for port in (FRONT, CONTROL, WORKER, *INTERNAL):
                        with socket.socket() as probe:
                            probe.bind((f"{net}.{last}", port))
                return net
            except OSError:
                continue
        raise CannotRun("no free loopback addresses")

    def record(self, what, **more):
        """Write one line of the record."""
        line = f"{time.time() - self.began:8.3f} {what}"
        if more:
            line += " " + json.dumps(more)
        print(line, file=self.record_file, flush=True)

    # Processes

    def start_role(self, role, ip, number, bootstrap=True):
        """Start a process of a role with the command of the deploy file."""
        is_cell = role == "cell"
        name = f"{role}-{number}"
        folder = self.temporary / name
        folder.mkdir(exist_ok=True)
        settings = {
            "nodeName": name,
            "role": role,
            "machineClass": "core" if is_cell else "front",
            "serves": ["control"] if is_cell else ["front"],
            "ip": ip,
            "zone": ZONES[number % 3],
            "region": "karnali",
            "zones": {zone: "karnali" for zone in ZONES},
            "endpoints": (
                {"control": f"{ip}:{CONTROL}"}
                if is_cell
                else {"front": f"{ip}:{FRONT}", "readinessAddr": f"{ip}:{READY}"}
            ),
            "internalPortRange": INTERNAL,
            "seeds": self.control[:3],
            "bootstrap": bootstrap,
            "limits": {"cpuShare": 1.0, "cores": 1, "memoryMb": 300, "maxFds": 4100},
            "dataDir": str(folder / "data") if is_cell else None,
            "heartbeatMs": 1500,
            "bounds": BOUNDS,
            "orders": "invocation",
        }
        path = folder / "boot.yaml"
        path.write_text(json.dumps(settings, indent=1))
        self._spawn(
            name,
            self.roles[role]["run"].split(),
            {"AGATEFERRY_CONFIG": str(path), "PYTHONPATH": str(ROOT / "target/deps")},
        )

    def address_of(self, worker):
        """Return the address of a worker."""
        return f"{self.net}.{100 + self.workers.index(worker)}:{WORKER}"

    def start_worker(self, name, **more):
        """Start a stand-in for a worker; a new life of one that was killed has a new birth time."""
        number = self.workers.index(name)
        settings = {
            "id": name,
            "service": SERVICE,
            "address": self.address_of(name),
            "zone": ZONES[number % 3],
            "rack": f"r{number // 4}",
            "capacity": {"cpu": 32000, "memMb": 131072, "gpu": 8},
            "control": self.control,
            "maxHoldMs": BOUNDS["maxHoldMs"],
            "unhealthyFile": str(self.temporary / f"{name}.unhealthy"),
            **more,
        }
        path = self.temporary / f"{name}.json"
        path.write_text(json.dumps(settings))
        self._spawn(name, ["python3", str(HERE / "worker.py"), str(path)], {})

    def set_unhealthy(self, name, is_unhealthy):
        """Let a worker answer each start with 503, or no longer."""
        path = self.temporary / f"{name}.unhealthy"
        path.touch() if is_unhealthy else path.unlink()
        self.record("worker unhealthy" if is_unhealthy else "worker healthy", name=name)

    def _spawn(self, name, command, variables):
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        log = open(self.temporary / f"{name}.log", "a")
        process = subprocess.Popen(
            command,
            cwd=ROOT,
            env={**environment, "PYTHONDONTWRITEBYTECODE": "1", **variables},
            stdout=log,
            stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL,
        )
        log.close()
        self.processes[name] = process
        self.record("process started", name=name, pid=process.pid)

    def kill(self, name):
        """Kill a process that this case started."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGKILL)
        process.wait()
        self.record("process killed", name=name)

    def is_up(self, name):
        """Return whether a process that this case started is running."""
        process = self.processes.get(name)
        return process is not None and process.poll() is None

    def close(self):
        """End all processes, add the workers' records to the record, and remove the folder."""
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.processes.values():
            process.wait()
        print("\nwhat the workers ran:", file=self.record_file)
        for line in self.worker_lines():
            at = line.pop("at") - self.began
            print(f"{at:8.3f} {json.dumps(line)}", file=self.record_file)
        if os.environ.get("KEEP"):
            print(self.temporary)
        else:
            shutil.rmtree(self.temporary, ignore_errors=True)
        self.record_file.close()

    def starts_of(self, job):
        """Return the starts of a job's subtasks that workers have carried out so far."""
        return [
            line
            for line in self.worker_lines()
            if line["what"] == "started" and line["task"].startswith(job)
        ]

    def worker_lines(self):
        """Return what the workers have started and ended so far, in order of time."""
        lines = []
        for name in self.workers:
            path = self.temporary / f"{name}.log"
            if path.exists():
                for text in path.read_text().splitlines():
                    if text.startswith("{"):
                        lines.append(json.loads(text))
        return sorted(lines, key=lambda line: line["at"])

    # Calls

    def call(self, address, method, path, body=None, headers=None, timeout=3.0):
        """Make one HTTP call; return the status and body, or 0 if there was no answer."""
        ip, _, port = address.partition(":")
        data = body if isinstance(body, bytes) or body is None else json.dumps(body).encode()
        try:
            call = http.client.HTTPConnection(ip, int(port), timeout=timeout)
            call.request(
                method, path, data, {"Content-Type": "application/json", **(headers or {})}
            )
            reply = call.getresponse()
            text = reply.read()
            call.close()
            return reply.status, text
        except (OSError, http.client.HTTPException) as exc:
            return 0, repr(exc).encode()

    def front(self, method, path, body=None, entry=0, key=KEY, deadline_ms=3000):
        """Make a consumer's call."""
        headers = {"Host": HOST, "Request-Deadline-Ms": str(deadline_ms)}
        if key:
            headers["Authorization"] = f"Token {key}"
        address = f"{self.entry_ips[entry]}:{FRONT}"
        return self.call(address, method, path, body, headers, deadline_ms / 1000)

    def submit(self, id, steps, ms, **more):
        """Hand a job in, again after no clear answer, as consumers do; return the last status."""
        spec = json.dumps({"ms": ms})
        for attempt in range(5):
            status, text = self.front("POST", PREFIX + id, {"spec": spec, "steps": steps, **more})
            self.record("POST", job=id, status=status, answer=text.decode(errors="replace"))
            if status == 200:
                return status
            time.sleep(0.3)
        raise CannotRun(f"the job {id} was not accepted: {status}")

    def state(self, id):
        """Return a job's state as its consumer sees it, or the status where there is none."""
        status, text = self.front("GET", PREFIX + id)
        shown = json.loads(text).get("state") if status == 200 else f"status {status}"
        self.record("GET", job=id, shown=shown, answer=text.decode(errors="replace"))
        return shown

    def manifest(self, **more):
        """Return the next version of the manifest."""
        self.version += 1
        route = {
            "name": "r-ce7ejsm",
            "host": HOST,
            "pathPrefix": PREFIX,
            "kind": "unsafe",
            "timeoutMs": 3000,
            "targetLatencyMs": 1000,
            "priority": 1,
            "service": SERVICE,
            "attempts": 3,
            "stretch": 3.0,
            "public": False,
            **more,
        }
        return {
            "version": self.version,
            "routes": [route],
            "services": [
                {
                    "name": SERVICE,
                    "healthPath": "/health",
                    "maxConnections": 64,
                    "protocol": "h1",
                    "tls": False,
                    "enforcesCapacity": False,
                    "standby": False,
                }
            ],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144},
            "tenants": [{"name": "kaje80", "apiKeys": [KEY], "priority": 1, "reserved": {"gpu": 8}}],
        }

    def put_manifest(self, body):
        """Send a manifest until it has a clear answer, to one node after the other."""
        for attempt in range(60):
            node = self.control[attempt % len(self.control)]
            status, text = self.call(node, "PUT", "/agateferry/config", body, timeout=1.0)
            self.record("PUT manifest", node=node, status=status)
            if status == 200 or 400 <= status < 500:
                return status
            time.sleep(0.5)
        raise CannotRun("no clear answer to the manifest")

    def start(self, **manifest):
        """Start everything, put the first manifest and wait until the entries are ready."""
        for number, ip in enumerate(self.cell_ips):
            self.start_role("cell", ip, number)
        for number, ip in enumerate(self.entry_ips):
            self.start_role("entry", ip, number)
        if self.put_manifest(self.manifest(**manifest)) != 200:
            raise CannotRun("the first manifest was refused")
        for name in self.workers:
            self.start_worker(name)
        self.wait_ready()

    def wait_ready(self, timeout=20):
        """Wait until all entries report ready and the workers have reported."""
        end = time.time() + timeout
        for ip in self.entry_ips:
            while self.call(f"{ip}:{READY}", "GET", "/agateferry/ready")[0] != 200:
                if time.time() > end:
                    raise CannotRun("an entry is not ready")
                time.sleep(0.2)
        time.sleep(3)
        self.record("ready")


def wait_until(condition, timeout, pause=0.1):
    """Return the first true value of a condition, None where there is none in time."""
    end = time.time() + timeout
    while time.time() < end:
        value = condition()
        if value:
            return value
        time.sleep(pause)
    return None


def _on_signal(number, frame):
    raise CannotRun(f"signal {number}")


def main(record, play, **size):
    """Play one case: 1 if `play` returns a broken rule, 0 if it returns none, 2 if it cannot run.

    `record` is the path of the file that gets what was sent, answered and run.
    """
    system = None
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGALRM):
        signal.signal(number, _on_signal)
    signal.alarm(MAX_S)
    try:
        system = System(record, **size)
        broken = play(system)
        verdict = f"BROKEN: {broken}" if broken else "the rule held"
        system.record(verdict)
        print(verdict)
        return 1 if broken else 0
    except Exception as exc:
        print(f"the case could not run: {exc!r}")
        if system is not None:
            system.record(f"the case could not run: {exc!r}")
        return 2
    finally:
        signal.alarm(0)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, signal.SIG_IGN)
        if system is not None:
            system.close()
