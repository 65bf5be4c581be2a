"""Which files a traced process opened, which package each belongs to, and why a machine has that package."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path

import pytest

from tools.opened_files import (
    NO_PACKAGE,
    NOT_NEEDED,
    Trace,
    dependency_closure,
    file_list,
    installed_packages,
    outside,
    reason_of,
    spellings,
    table,
)

ROOT = Path(__file__).resolve().parent.parent
TRACE = """\
10 execve("/bin/sh", ["/bin/sh", "-c", "python3 -m demo"], 0x7f /* 3 vars */) = 0
10 openat(AT_FDCWD</w/tree>, "/etc/ld.so.cache", O_RDONLY|O_CLOEXEC) = 3</etc/ld.so.cache>
10 openat(AT_FDCWD</w/tree>, "/etc/none", O_RDONLY) = -1 ENOENT (No such file or directory)
10 clone(child_stack=NULL, flags=CLONE_CHILD_SETTID|SIGCHLD, child_tidptr=0x7f) = 11
10 vfork( <unfinished ...>
12 execve("/nowhere/python3", ["python3", "-m", "served"], 0x7f /* 3 vars */) = -1 ENOENT (No such file)
12 execve("/opt/x/python3", ["python3", "-m", "served"], 0x7f /* 3 vars */ <unfinished ...>
10 <... vfork resumed>) = 12
12 <... execve resumed>) = 0
12 openat(AT_FDCWD</w/tree>, "a.py", O_RDONLY|O_CLOEXEC <unfinished ...>
11 openat(AT_FDCWD</w/tree>, "/lib/x/libc.so.6", O_RDONLY|O_CLOEXEC) = 3</usr/lib/x/libc.so.6>
12 <... openat resumed>) = 4</w/tree/a.py>
12 clone3({flags=CLONE_VM|CLONE_THREAD, stack_size=0x7f}, 88) = 13
13 openat(AT_FDCWD</w/tree>, "/etc/hosts", O_RDONLY|O_CLOEXEC) = 5</etc/hosts>
13 +++ exited with 0 +++
"""
INSTALLED = """\
sh\tyes\tlibc (>= 2.36), \t
libc\tno\t, libgcc\t
libgcc\tno\t, \t
python3\tno\tminimal (= 3.11), media | mime, libssl:any (>= 3)\tpython3-profiler
minimal\tno\t, libc\t
other-media\tno\t, \tmime (= 4)
libssl\tno\t, libc\t
tool\tno\t, python3:any\t
"""


def test_files_are_those_that_were_opened_or_executed() -> None:
    trace = Trace.read(TRACE.splitlines(keepends=True))
    everything = trace.files_of("")
    assert {"/etc/ld.so.cache", "/usr/lib/x/libc.so.6", "/lib/x/libc.so.6", "/w/tree/a.py"} <= everything
    assert "/etc/none" not in everything and "/nowhere/python3" not in everything


def test_a_programs_files_are_also_those_of_its_threads_and_not_its_parents() -> None:
    files = Trace.read(TRACE.splitlines()).files_of('"served"')
    assert files == {"/opt/x/python3", "/w/tree/a.py", "/etc/hosts"}


def test_files_of_the_repository_and_of_the_kernel_are_left_out() -> None:
    files = {"/w/tree/a.py", "/w/tree", "/w/trees", "/proc/self/stat", "/dev/null", "/lib/x/../y", "/etc"}
    assert outside(files, ["/w/tree/"]) == {"/w/trees", "/lib/y", "/etc"}


@pytest.mark.parametrize(
    ("path", "names"),
    [
        ("/usr/lib/a.so", ["/usr/lib/a.so", "/lib/a.so"]),
        ("/bin/sh", ["/bin/sh", "/usr/bin/sh"]),
        ("/usr/lib/p/__pycache__/ab.cpython-311.pyc", ["/usr/lib/p/ab.py", "/lib/p/ab.py"]),
    ],
)
def test_dpkg_is_asked_for_a_file_by_each_of_its_names(path: str, names: list[str]) -> None:
    assert spellings(path) == names


def test_a_listed_package_brings_in_what_it_needs() -> None:
    installed = installed_packages(INSTALLED)
    assert dependency_closure(["tool"], installed) == {
        "tool": "", "python3": "tool", "minimal": "python3", "other-media": "python3", "libssl": "python3",
        "libc": "minimal", "libgcc": "libc",
    }  # fmt: skip
    assert dependency_closure(["absent"], installed) == {"absent": ""}
    assert [package.name for package in installed.values() if package.essential] == ["sh"]


def test_each_package_has_its_reason() -> None:
    listed, essential = {"python3": "", "libc": "python3"}, {"sh": "", "libc": "sh", "awk": "sh"}
    assert reason_of("python3", listed, essential) == "listed"
    assert reason_of("libc", listed, essential) == "needed by python3"
    assert reason_of("sh", listed, essential) == "essential in Debian"
    assert reason_of("awk", listed, essential) == "needed by sh"
    assert reason_of("yq", listed, essential) is None


def test_the_table_has_a_row_a_package() -> None:
    packages = {"/a": "one", "/b": "one", "/c": "two", "/d": NO_PACKAGE}
    reasons = {"one": "listed", "two": None, NO_PACKAGE: "no package"}
    rows = list(table(packages, {"/a", "/b", "/d"}, {"/b", "/c"}, reasons))
    assert rows[2:] == [
        f"| {NO_PACKAGE} | no package | 1 | 0 | `/d` |",
        "| one | listed | 2 | 1 | `/a` |",
        f"| two | {NOT_NEEDED} | 0 | 1 | `/c` |",
    ]


def test_the_list_has_each_file_of_a_package_and_who_opens_it() -> None:
    packages = {"/b": "one", "/a": "one", "/c": "two", "/d": NO_PACKAGE}
    lines = list(file_list(packages, {"/a", "/b", "/d"}, {"/b", "/c"}))
    assert lines == ["one\tbuild\t/a", "one\tbuild+programs\t/b", "two\tprograms\t/c"]


# --- the deploy file and its page -------------------------------------------------------------------------
DEPLOY = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())


def test_the_deploy_file_lists_each_package_once_in_order() -> None:
    packages = DEPLOY["packages"]
    assert packages == sorted(set(packages))
    assert {"python3", "python3-pip"} <= set(packages)


def test_the_build_takes_wheels_alone_for_there_is_no_compiler() -> None:
    assert "--only-binary :all:" in DEPLOY["build"]
    assert not {"gcc", "build-essential", "python3-dev"} & set(DEPLOY["packages"])


def test_the_measured_table_is_of_the_packages_that_are_listed() -> None:
    page = (ROOT / "docs" / "measurements" / "packages.md").read_text()
    measured = set(re.findall(r"^\| (\S+) \| listed \|", page, re.M))
    assert measured == set(DEPLOY["packages"]) - {"python3"}  # which only brings in others
