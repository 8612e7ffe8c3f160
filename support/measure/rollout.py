#!/usr/bin/env python3
"""Measures a rollout with real agents on loopback, over shaped links.

Prints "name value unit" lines, then the same as one JSON line. For each number
of agents: full-duplex and shared links; as a baseline, everyone reading the
origin (each agent in a pool of its own, with weights of its own).
"""
import argparse
import datetime
import json
import math
import os
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

MIB = 1 << 20
ENGINES_PER_PROCESS = 16


def call(method, address, target, body=None, headers=None):
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(
        f"http://{address}{target}", data=data, method=method,
        headers=headers or {})
    with urllib.request.urlopen(request, timeout=30) as answer:
        text = answer.read().decode()
    return json.loads(text) if text else None


def time_of(line):
    stamp = line.split(" ")[0].replace("'T'", " ")
    return datetime.datetime.strptime(
        stamp, "%Y-%m-%d %H:%M:%S.%f").timestamp()


class Run:
    """One system of processes; ends those it started."""

    def __init__(self, build, scratch, agents, rate, shared):
        self.build, self.scratch, self.children = build, scratch, []
        self.platform = self.standins("platform", 1)[0]
        self.origin = self.standins("origin", 1)[0]
        engines = []
        while len(engines) < agents:
            engines += self.standins(
                "engine", min(ENGINES_PER_PROCESS, agents - len(engines)))
        self.entry = self.node("entry-0", {
            "role": "entry", "platform": self.platform})
        weights = {"origin": self.origin, "uploadBytesPerSecond": rate,
                   "downloadBytesPerSecond": rate, "sharedLink": shared}
        self.names = [f"agent-{i}" for i in range(agents)]
        for name, engine in zip(self.names, engines):
            self.node(name, {
                "role": "agent", "entries": [self.entry["control"]],
                "threads": 1, "weights": weights,
                "upstream": {"name": "standin", "kind": "engine",
                             "address": engine}})
        self.agents = self.children[-agents:]

    def start(self, arguments, name):
        log = open(os.path.join(self.scratch, name + ".log"), "w")
        child = subprocess.Popen(arguments, stdout=subprocess.PIPE,
                                 stderr=log, text=True)
        self.children.append(child)
        return child

    def standins(self, kind, count):
        child = self.start([os.path.join(self.build, "deckpitch-standins"),
                            f"--kind={kind}", f"--engines={count}"], kind)
        return [json.loads(child.stdout.readline())["address"]
                for _ in range(count)]

    def node(self, name, settings):
        path = os.path.join(self.scratch, name + ".json")
        with open(path, "w") as file:
            json.dump(dict(settings, instance=name, dataCentre="lahore"), file)
        child = self.start([os.path.join(self.build, "deckpitchd"),
                            "--settings=" + path], name)
        return json.loads(child.stdout.readline())

    def declare(self, name, model, ready):
        call("PUT", self.entry["operator"], "/v1/resources/pools/" + name,
             {"name": name, "kind": "engine", "model": model, "version": "1",
              "readiness": [{"dataCentre": "lahore", "ready": ready}]},
             {"If-None-Match": "*"})

    def stamps(self, event):
        found = []
        for name in self.names:
            with open(os.path.join(self.scratch, name + ".log")) as file:
                found += [time_of(line) for line in file if event in line]
        return found

    def cpu_seconds(self):
        total = 0
        for child in self.agents:
            with open(f"/proc/{child.pid}/stat") as file:
                fields = file.read().rsplit(")", 1)[1].split()
            total += int(fields[11]) + int(fields[12])
        return total / os.sysconf("SC_CLK_TCK") / len(self.agents)

    def end(self):
        for child in self.children:
            child.kill()
            child.wait()


def measure(build, agents, size, chunk, rate, shared, own_copies, cap):
    with tempfile.TemporaryDirectory() as scratch:
        run = Run(build, scratch, agents, rate, shared)
        try:
            content = {"bytes": size, "chunkBytes": chunk, "seed": 1}
            call("PUT", run.origin, "/_standin/faults",
                 {"bytesPerSecond": 2 * rate})
            pools = agents if own_copies else 1
            for i in range(pools):
                call("PUT", run.origin, f"/_standin/weights/m{i}@1", content)
                run.declare(f"p{i}", f"m{i}", agents // pools)
            before, end = run.cpu_seconds(), time.time() + cap
            while len(run.stamps("CopyComplete")) < agents:
                if time.time() > end:
                    break
                time.sleep(0.3)
            started, ended = run.stamps("CopyStarted"), run.stamps(
                "CopyComplete")
            counters = call("GET", run.origin, "/_standin/counters")
            return {"complete": len(ended),
                    "seconds": max(ended, default=0) - min(started, default=0),
                    "originCopies": counters["bytes"] / size,
                    "cpuPerAgent": run.cpu_seconds() - before}
        finally:
            run.end()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--agents", default="8,16")
    parser.add_argument("--bytes", type=int, default=16 * MIB)
    parser.add_argument("--chunk", type=int, default=64 * 1024)
    parser.add_argument("--rate", type=int, default=MIB)
    parser.add_argument("--cap", type=int, default=180, help="seconds a run")
    parser.add_argument("--modes", default="duplex,shared,origin")
    options = parser.parse_args()
    chunks = -(-options.bytes // options.chunk)
    figures = {}
    for agents in map(int, options.agents.split(",")):
        bound = ((chunks + math.floor(math.log2(agents))) * options.chunk /
                 options.rate)
        for mode in options.modes.split(","):
            got = measure(options.build, agents, options.bytes, options.chunk,
                          options.rate, mode == "shared", mode == "origin",
                          options.cap)
            base = f"rollout.{mode}.n{agents}"
            lines = [("complete", got["complete"], "agents"),
                     ("time", round(got["seconds"], 2), "s"),
                     ("ratio", round(got["seconds"] / bound, 3), "x"),
                     ("originCopies", round(got["originCopies"], 3), "copies"),
                     ("cpuPerAgent", round(got["cpuPerAgent"], 2), "s")]
            for name, value, unit in lines:
                figures[f"{base}.{name}"] = value
                print(f"{base}.{name} {value} {unit}", flush=True)
    print(json.dumps(figures))


main()
