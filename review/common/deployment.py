"""A small deployment on loopback addresses: the project's own program as the
deploy file starts it, with the templates of its settings filled in."""

import asyncio
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
PROGRAM = ROOT / "target" / "deckpitchd"  # of the line "run" of deploy/system.toml

BOUNDS = {"drainMs": 2000, "applyMs": 2000, "graceMs": 8000, "versionMs": 8000,
          "retryShare": 0.2, "retrySlack": 100, "retryWindowMs": 10000}


def fail_to_run(why):
    print(f"cannot run: {why}", flush=True)
    sys.exit(2)


class Addresses:
    """Loopback addresses of one run, with ports that are free on all of them."""

    def __init__(self):
        self._net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        self.callers, self.ready, self.directory, self.operator, self.link, self.app, self.store = (
            self._free_ports(7))

    def host(self, number):
        return f"{self._net}.{number}"

    @staticmethod
    def _free_ports(count):
        sockets = [socket.socket() for _ in range(count)]
        try:
            for each in sockets:
                each.bind(("0.0.0.0", 0))
            return [each.getsockname()[1] for each in sockets]
        finally:
            for each in sockets:
                each.close()


class Daemon:
    """One deckpitchd; ended by its own process id only."""

    def __init__(self, folder, name, settings):
        self.name = name
        self._path = folder / f"{name}.json"
        self._path.write_text(settings)
        self._log = open(folder / f"{name}.log", "ab")
        self._process = None

    async def start(self):
        self._process = await asyncio.create_subprocess_exec(
            str(PROGRAM), f"--settings={self._path}", cwd=ROOT, stdout=self._log, stderr=self._log)

    def signal(self, number):
        if self.is_running():
            self._process.send_signal(number)

    def is_running(self):
        return self._process is not None and self._process.returncode is None

    @property
    def exit_code(self):
        return self._process.returncode if self._process else None

    async def kill(self):
        self.signal(signal.SIGKILL)
        if self._process:
            await self._process.wait()


class Deployment:
    """Processes and their folder; end() ends all that were started."""

    def __init__(self):
        if not PROGRAM.exists():
            fail_to_run(f"{PROGRAM} is missing: run the build of deploy/system.toml")
        self.addresses = Addresses()
        self.folder = Path(tempfile.mkdtemp(prefix="deckpitch-review-"))
        self.daemons = []

    def _settings(self, role, name, zone, listen, extra=""):
        import json
        addresses = self.addresses
        values = {"mode": "direct", "role": role, "instance": name, "dataCentre": zone,
                  "listen": listen,
                  "agents": {"linkPort": addresses.link, "bulkPort": addresses.link},
                  "store": f"objects://{addresses.host(1)}:{addresses.store}",
                  "linkMbps": 1000 if role == "entry" else 9.4}
        bounds = dict(BOUNDS)
        if role == "entry":
            values["regions"] = {"zone-a": "region-a", "zone-b": "region-b"}
        else:
            for key in ("applyMs", "retryWindowMs"):
                bounds.pop(key)
            values |= extra
        values["bounds"] = bounds
        return json.dumps(values)

    def entry(self, number, zone):
        host, at = self.addresses.host(10 + number), self.addresses
        listen = {"callers": f"{host}:{at.callers}", "ready": f"{host}:{at.ready}",
                  "directory": f"{host}:{at.directory}", "operator": f"{host}:{at.operator}",
                  "link": f"{host}:{at.link}"}
        daemon = Daemon(self.folder, f"front-{zone}-{number}",
                        self._settings("entry", f"front-{zone}-{number}", zone, listen))
        daemon.host = host
        self.daemons.append(daemon)
        return daemon

    def agent(self, host, number, zone, service):
        at = self.addresses
        listen = {"operator": f"{host}:{at.operator}", "link": f"{host}:{at.link}",
                  "bulk": f"{host}:{at.link}"}
        extra = {"upstream": f"instance://{host}:{at.app}", "service": service}
        daemon = Daemon(self.folder, f"side-{zone}-{number}",
                        self._settings("agent", f"side-{zone}-{number}", zone, listen, extra))
        daemon.host = host
        self.daemons.append(daemon)
        return daemon

    async def end(self):
        for each in self.daemons:
            each.signal(signal.SIGCONT)
            await each.kill()
        keep = os.environ.get("KEEP")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
