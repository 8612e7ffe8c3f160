#!/usr/bin/env python3
"""Runs clang-tidy on source files, leaving out those whose preprocessed content
has passed before with the same checks and tool.

    scripts/tidy.py BUILD-FOLDER JOBS FILE...

A pass is remembered in $DECKPITCH_TIDY_CACHE (default: ~/.cache/deckpitch-tidy)
as an empty file named after a hash of everything that the result depends on;
a finding is not remembered. Exits with 1 if there are findings."""

import hashlib
import json
import os
import shlex
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

# The macro lets clang 14 accept the coroutines of this standard library.
OPTIONS = ["-D__cpp_impl_coroutine=201902L", "-Wno-gnu-statement-expression"]
# Passes that nothing has asked for in this time are forgotten.
LIFETIME_S = 30 * 24 * 3600
NOISE = ("warnings generated", "Suppressed", "Use -header-filter")


def cache_folder():
    default = Path.home() / ".cache" / "deckpitch-tidy"
    return Path(os.environ.get("DECKPITCH_TIDY_CACHE", default))


def commands_of(build):
    """The compiler's arguments by source file, without the compiler itself."""
    entries = json.loads((Path(build) / "compile_commands.json").read_text())
    return {str(Path(each["directory"], each["file"]).resolve()):
            (each["directory"], arguments_of(shlex.split(each["command"])))
            for each in entries}


def arguments_of(words):
    """Leaves out what names the compiler, its launcher, the output and the mode."""
    first = next(i for i, word in enumerate(words) if word.startswith("-"))
    out, skip = [], False
    for word in words[first:]:
        if skip or word == "-c":
            skip = False
        elif word in ("-o", "-MF", "-MT"):
            skip = True
        elif word not in ("-MD", "-MMD"):
            out.append(word)
    return out


def key_of(source, directory, arguments, common):
    """A hash of the preprocessed file, its comments (they may silence checks)
    and its arguments. Nothing if it cannot be preprocessed."""
    done = subprocess.run(["clang++", *OPTIONS, "-E", "-C", *arguments],
                          cwd=directory, capture_output=True)
    if done.returncode != 0:
        return None
    # The same in each clone.
    root = os.getcwd().encode()
    text = done.stdout.replace(root, b"") + b"\0" + shlex.join(arguments).encode().replace(root, b"")
    return hashlib.sha256(common + text).hexdigest()


def check(source, build, command, common):
    """Returns whether the file passes, and what is to be printed."""
    key = key_of(source, *command, common) if command else None
    mark = cache_folder() / key if key else None
    if mark and mark.exists():
        mark.touch()
        return True, ""
    extra = [f"--extra-arg={each}" for each in OPTIONS]
    done = subprocess.run(["clang-tidy", "-p", build, "--quiet", *extra, source],
                          capture_output=True, text=True)
    lines = (done.stdout + done.stderr).splitlines()
    output = "\n".join(line for line in lines if not any(each in line for each in NOISE))
    passed = done.returncode == 0 and "warning:" not in output
    if passed and mark:
        mark.touch()
    return done.returncode == 0, output


def forget_old(folder):
    for each in folder.iterdir():
        if time.time() - each.stat().st_mtime > LIFETIME_S:
            each.unlink(missing_ok=True)


def main():
    build, jobs, *sources = sys.argv[1:]
    folder = cache_folder()
    folder.mkdir(parents=True, exist_ok=True)
    forget_old(folder)
    version = subprocess.run(["clang-tidy", "--version"], capture_output=True, check=True).stdout
    common = version + Path(".clang-tidy").read_bytes() + Path(__file__).read_bytes()
    commands = commands_of(build)

    def run(source):
        # Without a command of its own, clang-tidy infers one: not remembered.
        return check(source, build, commands.get(str(Path(source).resolve())), common)

    with ThreadPoolExecutor(int(jobs)) as pool:
        results = list(pool.map(run, sources))
    for _, output in results:
        if output.strip():
            print(output)
    return 0 if all(passed for passed, _ in results) else 1


if __name__ == "__main__":
    sys.exit(main())
