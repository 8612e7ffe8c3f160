"""Starts a platform stand-in and N deckpitchd processes, a quarter entries."""

import json
import os
import subprocess
import sys
import tempfile
import time
import urllib.request

CHANGES = 5
IDLE_SECONDS = 10
LIMIT_SECONDS = 60
TICKS = os.sysconf("SC_CLK_TCK")


def call(method, address, path, body=None, headers=None):
    """The status and the JSON of one HTTP call."""
    request = urllib.request.Request(
        f"http://{address}{path}",
        method=method,
        data=json.dumps(body).encode() if body is not None else None,
        headers=headers or {},
    )
    with urllib.request.urlopen(request, timeout=10) as answer:
        return json.load(answer)


class Fleet:
    """The processes of one run; stopped by their ids at the end."""

    def __init__(self, build, size, folder):
        self.build, self.size, self.folder = build, size, folder
        self.children, self.nodes = [], []

    def start(self, arguments):
        child = subprocess.Popen(
            arguments, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True
        )
        self.children.append(child)
        return child, json.loads(child.stdout.readline())

    def start_node(self, settings):
        path = os.path.join(self.folder, settings["instance"] + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        child, said = self.start([f"{self.build}/deckpitchd", f"--settings={path}"])
        self.nodes.append({"pid": child.pid, "role": settings["role"], **said})

    def start_all(self):
        _, said = self.start([f"{self.build}/deckpitch-standins", "--kind=platform"])
        self.platform = said["address"]
        entries = max(2, self.size // 4)
        for i in range(self.size):
            role = "entry" if i < entries else "agent"
            settings = {
                "role": role,
                "instance": f"{role}-{i}",
                "dataCentre": ["lahore", "karachi", "multan"][i % 3],
                "entries": [n["control"] for n in self.nodes[:2]],
                "threads": 1,
            }
            if role == "entry":
                settings["platform"] = self.platform
            else:
                upstream = {"name": "engine", "kind": "engine", "address": "127.0.0.1:9"}
                settings["upstream"] = upstream
            self.start_node(settings)

    def stop(self):
        for child in self.children:
            child.terminate()
        for child in self.children:
            try:
                child.wait(10)
            except subprocess.TimeoutExpired:
                child.kill()

    def change(self, name, version, expected):
        pool = {"name": name, "model": "m", "version": version}
        match = {"If-Match": f'"{expected}"'} if expected else {"If-None-Match": "*"}
        entry = self.nodes[0]["operator"]
        return call("PUT", entry, f"/v1/resources/pools/{name}", pool, match)["revision"]

    def await_in_force(self, revision):
        waiting = list(self.nodes)
        end = time.monotonic() + LIMIT_SECONDS
        while waiting and time.monotonic() < end:
            dumps = [(n, call("GET", n["operator"], "/v1/dump")) for n in waiting]
            waiting = [
                n
                for n, dump in dumps
                if dump["modules"]["declarations"]["revision"] < revision
            ]
        return not waiting

    def totals(self):
        """Control bytes and processor seconds by role, and platform calls."""
        out = {"entry": [0, 0.0, 0, 0], "agent": [0, 0.0, 0, 0]}
        for node in self.nodes:
            dump = call("GET", node["operator"], "/v1/dump")
            with open(f"/proc/{node['pid']}/stat", encoding="utf-8") as file:
                fields = file.read().rsplit(")", 1)[1].split()
            with open(f"/proc/{node['pid']}/statm", encoding="utf-8") as file:
                pages = int(file.read().split()[1])
            sums = out[node["role"]]
            sums[0] += dump["controlBytesSent"] + dump["controlBytesReceived"]
            sums[1] += (int(fields[11]) + int(fields[12])) / TICKS
            sums[2] += pages * os.sysconf("SC_PAGE_SIZE")
            sums[3] += 1
        calls = call("GET", self.platform, "/_standin/counters")["total"]
        return out, calls


def measure(build, size):
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(build, size, folder)
        try:
            fleet.start_all()
            revision = fleet.change("chat", "0", None)
            if not fleet.await_in_force(revision):
                return print(f"N={size}: the first change was not in force everywhere")
            time.sleep(5)  # joining is over
            seconds = []
            for version in range(1, CHANGES + 1):
                began = time.monotonic()
                revision = fleet.change("chat", str(version), revision)
                if not fleet.await_in_force(revision):
                    return print(f"N={size}: change {version} was not in force")
                seconds.append(time.monotonic() - began)
                time.sleep(1)
            time.sleep(3)
            before, calls_before = fleet.totals()
            began = time.monotonic()
            time.sleep(IDLE_SECONDS)
            after, calls_after = fleet.totals()
            lasted = time.monotonic() - began
            report(size, seconds, before, after, calls_after - calls_before, lasted)
        finally:
            fleet.stop()


def report(size, seconds, before, after, calls, lasted):
    ordered = sorted(seconds)
    print(
        f"N={size}: in force on the last, median {ordered[len(ordered) // 2]:.2f} s,"
        f" worst {ordered[-1]:.2f} s of {len(ordered)};"
        f" idle: {calls / lasted:.2f} platform calls/s"
    )
    for role in ("entry", "agent"):
        count = after[role][3]
        sent = (after[role][0] - before[role][0]) / lasted / count
        cpu = (after[role][1] - before[role][1]) / lasted / count
        memory = after[role][2] / count / 2**20
        print(
            f"  {role} ({count}): {sent:.0f} control bytes/s in and out,"
            f" {100 * cpu:.2f}% of a core, {memory:.1f} MiB"
        )


if __name__ == "__main__":
    for wanted in sys.argv[2:]:
        measure(sys.argv[1], int(wanted))
