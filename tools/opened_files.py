"""Lists the files outside the repository that a clean build and the two programs open, by Debian package.

    python -m tools.opened_files [--table FILE] [--files FILE]

Builds the committed tree in an empty folder with the system's own python3, plays the lab's scene on
loopback (three control processes, two edges), both under strace, and asks dpkg for the package of each file
that was opened or executed. A package is certain to be installed if `packages` in deploy/system.toml lists
it, a listed one depends on it, or Debian marks it as essential. In a second build and scene every file of
other packages is answered with "no such file"; if they fail, the list is incomplete and the exit code is 1. A
library that an extension module links to must be listed even if they succeed, as the module's package may
fall back on slower code.
"""

from __future__ import annotations

import argparse
import os
import re
import subprocess
import sys
import tempfile
import tomllib
from collections import defaultdict, deque
from collections.abc import Collection, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TRACED_CALLS = "open,openat,openat2,execve,clone,clone3,fork,vfork"
FILE_CALLS = "open,openat,openat2,execve,stat,lstat,newfstatat,statx,access,faccessat2,readlink"
SYSTEM_PATH = "/usr/bin:/bin"
PROGRAM = "granitewell.cli.system"
VIRTUAL_FOLDERS = ("/proc/", "/sys/", "/dev/")
NO_PACKAGE = "(the machine's own)"
NOT_NEEDED = "not needed: all goes well where these files are absent"

LINE = re.compile(r"^(?P<pid>\d+) +(?P<call>.*)$")
UNFINISHED = " <unfinished ...>"
RESUMED = re.compile(r"^<\.\.\. \w+ resumed>")
OPENED = re.compile(r'^open(?:at2?)?\((?:[^"]*, )?"(?P<asked>[^"]*)".* = \d+<(?P<path>[^>]+)>$')
EXECUTED = re.compile(r'^execve\("(?P<path>[^"]+)", \[(?P<words>.*?)\], .* = 0$')
STARTED = re.compile(r"^(?:clone3?|v?fork)\(.* = (?P<child>\d+)(?:<.*>)?$")

GENERATED: Mapping[str, str] = {  # generated on installation, so that dpkg does not list them
    "/etc/group": "base-passwd",
    "/etc/passwd": "base-passwd",
    "/etc/ld.so.cache": "libc-bin",
    "/etc/nsswitch.conf": "base-files",
    "/etc/ssl/certs/ca-certificates.crt": "ca-certificates",
}


# --- traces ---
@dataclass(slots=True)
class Trace:
    """Files that processes opened or executed.

    Attributes:
        files: Files by process.
    """

    files: dict[int, set[str]] = field(default_factory=lambda: defaultdict(set))
    parents: dict[int, int] = field(default_factory=dict)
    commands: dict[int, str] = field(default_factory=dict)

    @classmethod
    def read(cls, lines: Iterable[str]) -> Trace:
        """Parse the output of `strace -f -y -o`."""
        trace = cls()
        for pid, call in whole_calls(lines):
            trace._take(pid, call)
        return trace

    def _take(self, pid: int, call: str) -> None:
        opened = OPENED.match(call)
        executed = EXECUTED.match(call)
        started = STARTED.match(call)
        if opened:
            self.files[pid] |= {opened["path"]} | set(re.findall("^/.*", opened["asked"]))
        elif executed:
            self.commands[pid] = executed["words"]
            self.files[pid] |= {executed["path"], os.path.realpath(executed["path"])}
        elif started:
            self.parents[int(started["child"])] = pid

    def files_of(self, command: str) -> set[str]:
        """Return the files of processes whose command has this text, and of their threads and children."""
        wanted = {pid for pid in self.files if self._comes_from(pid, command)}
        return {file for pid in wanted for file in self.files[pid]}

    def _comes_from(self, pid: int | None, command: str) -> bool:
        while pid is not None:
            if pid in self.commands and command in self.commands[pid]:
                return True
            pid = self.parents.get(pid)
        return False


def whole_calls(lines: Iterable[str]) -> Iterator[tuple[int, str]]:
    """Yield each process and call, with calls joined that strace split around another process's."""
    begun: dict[int, str] = {}
    for text in lines:
        line = LINE.match(text.rstrip("\n"))
        if line is None:
            continue
        pid, call = int(line["pid"]), line["call"]
        if call.endswith(UNFINISHED):
            begun[pid] = call.removesuffix(UNFINISHED)
        elif RESUMED.match(call):
            yield pid, begun.pop(pid, "") + RESUMED.sub("", call)
        else:
            yield pid, call


def outside(files: Iterable[str], folders: Collection[str]) -> set[str]:
    """Return the files outside these folders and the kernel's virtual ones."""
    within = (*VIRTUAL_FOLDERS, *(f"{folder.rstrip('/')}/" for folder in folders))
    return {os.path.normpath(file) for file in files if not f"{file}/".startswith(within)}


# --- packages ---
def source_of(path: str) -> str:
    """Return the source path of a compiled module; other paths are unchanged."""
    folder, cache, name = path.rpartition("/__pycache__/")
    return f"{folder}/{name.partition('.')[0]}.py" if cache else path


def spellings(path: str) -> list[str]:
    """Return the paths that dpkg may list for a file, as /lib and /bin are links into /usr."""
    source = source_of(path)
    without = source.removeprefix("/usr")
    return [source, without if without != source else f"/usr{source}"]


@dataclass(frozen=True, slots=True)
class Package:
    """An installed package.

    Attributes:
        needs: Dependencies, each a tuple of alternatives.
    """

    name: str
    essential: bool
    needs: tuple[tuple[str, ...], ...]
    provides: frozenset[str]


INSTALLED_FIELDS = r"${Package}\t${Essential}\t${Pre-Depends}, ${Depends}\t${Provides}\n"


def installed_packages(text: str) -> dict[str, Package]:
    """Parse the output of dpkg-query with INSTALLED_FIELDS."""
    packages = {}
    for line in text.splitlines():
        name, essential, needs, provides = line.split("\t")
        wanted = tuple(tuple(map(_bare, need.split("|"))) for need in needs.split(",") if need.strip())
        provided = frozenset(_bare(part) for part in provides.split(",") if part.strip())
        packages[name] = Package(name, essential == "yes", wanted, provided)
    return packages


def _bare(text: str) -> str:
    """Return a name without version, architecture or `:any`."""
    return re.split(r"[ :(]", text.strip())[0]


def dependency_closure(names: Iterable[str], installed: Mapping[str, Package]) -> dict[str, str]:
    """Return these packages and all dependencies, each with a package that needs it ('' if given)."""
    reasons = dict.fromkeys(names, "")
    waiting = deque(name for name in reasons if name in installed)
    while waiting:
        package = installed[waiting.popleft()]
        for alternatives in package.needs:
            found = _first_installed(alternatives, installed)
            if found is not None and found not in reasons:
                reasons[found] = package.name
                waiting.append(found)
    return reasons


def _first_installed(alternatives: Iterable[str], installed: Mapping[str, Package]) -> str | None:
    for name in alternatives:
        if name in installed:
            return name
        for package in installed.values():
            if name in package.provides:
                return package.name
    return None


def reason_of(package: str, listed: Mapping[str, str], essential: Mapping[str, str]) -> str | None:
    """Return why a machine with the listed packages has this one; None if it may be missing."""
    if package in listed:
        return f"needed by {listed[package]}" if listed[package] else "listed"
    if package in essential:
        return f"needed by {essential[package]}" if essential[package] else "essential in Debian"
    return "no package" if package == NO_PACKAGE else None


# --- the table ---
def table(
    packages: Mapping[str, str],
    build: Collection[str],
    run: Collection[str],
    reasons: Mapping[str, str | None],
) -> Iterator[str]:
    """Yield a row for each package: why it is installed, how many files are opened, an example."""
    yield "| package | there because | build | programs | such as |"
    yield "| --- | --- | --- | --- | --- |"
    files: dict[str, list[str]] = defaultdict(list)
    for file, package in sorted(packages.items()):
        files[package].append(file)
    for package, group in sorted(files.items()):
        counts = [sum(file in opened for file in group) for opened in (build, run)]
        because = reasons[package] or NOT_NEEDED
        yield f"| {package} | {because} | {counts[0]} | {counts[1]} | `{group[0]}` |"


def file_list(packages: Mapping[str, str], build: Collection[str], run: Collection[str]) -> Iterator[str]:
    """Yield a line for each file of a package: package, what opens it, path."""
    for package, file in sorted((package, file) for file, package in packages.items()):
        if package != NO_PACKAGE:
            opened_by = [name for name, files in (("build", build), ("programs", run)) if file in files]
            yield f"{package}\t{'+'.join(opened_by)}\t{file}"


# --- this machine ---
def packages_of(files: Iterable[str]) -> dict[str, str]:
    """Return the package of each file, by dpkg."""
    names = {name for file in files for name in spellings(file)}
    done = subprocess.run(["dpkg-query", "-S", *sorted(names)], capture_output=True, text=True, check=False)
    owners = {}
    for line in done.stdout.splitlines():
        owner, _, path = line.partition(": ")
        owners[path] = owner.split(",")[0].partition(":")[0]
    return {
        file: next((owners[n] for n in spellings(file) if n in owners), GENERATED.get(file, NO_PACKAGE))
        for file in files
    }


@dataclass(frozen=True, slots=True)
class Checkout:
    """A clean checkout of the committed tree.

    Attributes:
        absent: Files that are hidden from its processes.
    """

    place: Path
    absent: frozenset[str] = frozenset()

    @property
    def tree(self) -> Path:
        """The repository."""
        return self.place / "tree"

    def build(self, command: str) -> set[str]:
        """Build it; return the files outside the repository that were opened."""
        (self.place / "home").mkdir()
        subprocess.run(["git", "clone", "-q", str(ROOT), str(self.tree)], check=True)
        return self._outside(self._traced(["/bin/sh", "-c", command], {}).files_of(""))

    def play(self) -> set[str]:
        """Run the lab's scene; return the files outside the repository that the two programs opened."""
        scene = ["python3", "-m", "granitewell.lab.system"]
        trace = self._traced(scene, {"PYTHONPATH": str(self.tree / "target" / "deps")})
        return self._outside(trace.files_of(PROGRAM))

    def _outside(self, files: Iterable[str]) -> set[str]:
        found = outside(files, [str(self.place), "/tmp"])
        return {file for file in found if not os.path.isdir(file)}

    def _traced(self, command: Sequence[str], variables: Mapping[str, str]) -> Trace:
        """Run a command under strace with only these environment variables."""
        out = self.place / "trace"
        environment = {"PATH": SYSTEM_PATH, "HOME": str(self.place / "home"), "LANG": "C.UTF-8"} | dict(
            variables
        )
        strace = ["strace", "-f", "-y", "-qq", "-o", str(out), *self._options()]
        subprocess.run([*strace, *command], cwd=self.tree, env=environment, check=True)
        with out.open(errors="replace") as lines:
            return Trace.read(lines)

    def _options(self) -> list[str]:
        if not self.absent:
            return ["--seccomp-bpf", "-e", f"trace={TRACED_CALLS}"]
        paths = [word for path in sorted(self.absent) for word in ("-P", path)]
        return [*paths, "-e", f"trace={FILE_CALLS}", "-e", f"inject={FILE_CALLS}:error=ENOENT"]


def works_without(build: str, absent: frozenset[str]) -> bool:
    """Whether the build and the scene succeed without these files."""
    with tempfile.TemporaryDirectory(prefix="granitewell-") as place:
        checkout = Checkout(Path(place), absent)
        try:
            checkout.build(build)
            checkout.play()
        except subprocess.CalledProcessError as error:
            print(f"failed: {error}", file=sys.stderr)
            return False
    return True


def reasons_for(packages: Iterable[str], listed: Iterable[str]) -> dict[str, str | None]:
    """Return why each package is installed."""
    query = ["dpkg-query", "-W", "-f", INSTALLED_FIELDS]
    done = subprocess.run(query, capture_output=True, text=True, check=True)
    installed = installed_packages(done.stdout)
    by_list = dependency_closure(listed, installed)
    essential = dependency_closure(
        (package.name for package in installed.values() if package.essential), installed
    )
    return {package: reason_of(package, by_list, essential) for package in packages}


def main(arguments: Sequence[str]) -> int:
    """Print the table; return 1 if a package is missing from the list."""
    parser = argparse.ArgumentParser("tools.opened_files", description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--table", type=Path)
    parser.add_argument("--files", type=Path, help="takes each package's files and who opens them")
    options = parser.parse_args(arguments)
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    with tempfile.TemporaryDirectory(prefix="granitewell-") as place:
        checkout = Checkout(Path(place))
        build, run = checkout.build(deploy["build"]), checkout.play()
    packages = packages_of(build | run)
    reasons = reasons_for(packages.values(), deploy["packages"])
    text = "\n".join(table(packages, build, run, reasons)) + "\n"
    print(text)
    if options.table:
        options.table.write_text(text)
    if options.files:
        options.files.write_text("".join(f"{line}\n" for line in file_list(packages, build, run)))
    dispensable = frozenset(
        name for file, owner in packages.items() if reasons[owner] is None for name in spellings(file)
    )
    return 0 if not dispensable or works_without(deploy["build"], dispensable) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
