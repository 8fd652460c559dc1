"""Run one daemon in the event loop of a test, on free loopback ports."""

import contextlib
import tempfile
from pathlib import Path

import aiohttp

from agateferry_core.support import free_ports
from agateferry_service.daemon.host import Host
from agateferry_service.settings import load_settings

TEMPLATE = """
[host]
name = "a1"
zone = "z"
data_folder = "{folder}/data"
[listen]
callers = "{callers}"
operators = "{operators}"
endpoints = "{endpoints}"
peers = "{peers}"
[limits]
max_body_bytes = 4096
request_body_timeout_ms = 200
request_head_timeout_ms = 300
[timeouts]
drain_notice_ms = 0
[recording]
trace_file = "{folder}/trace.jsonl"
[[peers]]
name = "a1"
zone = "z"
peers = "{peers}"
callers = "{callers}"
operators = "{operators}"
disk = true
records_voter = true
"""


def settings_text(folder):
    names = ("callers", "operators", "endpoints", "peers")
    ports = zip(names, free_ports(len(names)), strict=True)
    return TEMPLATE.format(folder=folder, **{name: f"127.0.0.1:{port}" for name, port in ports})


class Client:
    """Call the ports of one host."""

    def __init__(self, host, session):
        self.host = host
        self._session = session

    async def call(self, port, method, path, **options):
        address = getattr(self.host.settings.listen, port)
        url = f"http://{address}{path}"
        async with self._session.request(method, url, **options) as resp:
            is_json = "json" in resp.headers.get("content-type", "")
            body = await resp.json(content_type=None) if is_json else None
            return resp.status, body, resp.headers

    async def submit(self, document, **headers):
        sent = {key.replace("_", "-"): value for key, value in headers.items()}
        return await self.call("callers", "POST", "/v1/requests", json=document, headers=sent)

    async def announce(self, name, **fields):
        body = {"incarnation": "i", "zone": "z", "rack": "r", "address": "127.0.0.1:1"}
        body.update(accelerators=8, cpu_cores=8, memory_mb=8192, slots=1)
        body.update(fields)
        path = f"/v1/endpoints/{name}/announce"
        return await self.call("endpoints", "POST", path, json=body)

    async def put(self, kind, name, content, replaces=0, schema="v2"):
        body = {"schema": schema, "replaces": replaces, "content": content}
        return await self.call("operators", "PUT", f"/v1/records/{kind}/{name}", json=body)


@contextlib.asynccontextmanager
async def running_host():
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "host.toml"
        path.write_text(settings_text(folder))
        host = Host(load_settings(path).ok)
        await host.start()
        try:
            async with aiohttp.ClientSession() as session:
                client = Client(host, session)
                while (await client.call("operators", "GET", "/v1/teams"))[0] != 200:
                    pass
                yield client
        finally:
            await host.stop()
