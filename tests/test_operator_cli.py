"""Tests the operators' commands against a control process with in-memory state."""

from __future__ import annotations

import asyncio
import json
import pathlib
import threading
import time
from collections.abc import Callable, Iterator

import fire
import pytest

from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.process.control import Control
from gooseberrydale.process.operator_cli import OperatorCommands
from gooseberrydale.process.operator_session import (
    CONTROL_VARIABLE,
    TOKEN_FILE_VARIABLE,
    OperatorExit,
    run_command,
)
from gooseberrydale.request.fingerprint import fingerprint_text
from gooseberrydale.request.prompt_parts import part_digest, parts_text
from gooseberrydale.version.acknowledgements import RevisionStatus
from gooseberrydale.version.key_index import key_digest
from gooseberrydale.version.open_runs import LostRuns
from tests.builders_incarnations import lost, request
from tests.builders_operators import TOKEN, running_control

Run = Callable[..., int]
KEY = "key-of-fraser-0123456789"
DECLARED = """
[profiles.summary]
kind = "completion"
pool = "engines"
model = "m1"

[workspaces.fraser]
share = 2.0
profiles = ["summary"]
"""
FAULTY = """
[profiles.summary]
kind = "completion"
pool = "engines"
modle = "m1"
deadline_s = "soon"

[workspaces.fraser]
share = -1.0

[profile.x]
"""
SUMMARY = ("--kind", "completion", "--pool", "engines", "--model", "m1")


@pytest.fixture
def control() -> Iterator[Control]:
    """Run a control process on an event loop in a thread of its own.

    Each command runs its own loop in the thread of the test.
    """
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever, daemon=True)
    thread.start()
    context = running_control()

    def run_on_loop(coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, loop).result(30)

    try:
        yield run_on_loop(context.__aenter__())
        run_on_loop(context.__aexit__(None, None, None))
    finally:
        loop.call_soon_threadsafe(loop.stop)
        thread.join(30)
        loop.close()


@pytest.fixture
def run(
    control: Control, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> Run:
    """Return a function that runs one command and returns its exit code."""
    token_file = tmp_path / "token"
    token_file.write_text(TOKEN)
    urls = f"http://127.0.0.1:1,http://{control.addresses['http']}"
    monkeypatch.setenv(CONTROL_VARIABLE, urls)
    monkeypatch.setenv(TOKEN_FILE_VARIABLE, str(token_file))

    def command(*args: str) -> int:
        try:
            fire.Fire(OperatorCommands(), list(args), serialize=run_command)
        except SystemExit as exc:
            return int(exc.code or 0)
        return 0

    return command


def test_profile_is_created_changed_shown_and_retired(run, capsys):
    assert run("profile", "apply", "summary", *SUMMARY) == 0
    assert run("profile", "apply", "summary", "--priority", "3") == 0
    capsys.readouterr()
    assert run("profile", "show", "summary", "--json") == 0
    shown = json.loads(capsys.readouterr().out)
    assert (shown["pool"], shown["priority"]) == ("engines", 3)
    assert run("profile", "list") == 0
    heading, row = capsys.readouterr().out.splitlines()
    assert heading.startswith("NAME") and row.startswith("summary  completion")
    assert run("profile", "retire", "summary") == 0
    assert run("profile", "retire", "summary") == OperatorExit.REFUSED
    assert "no profile 'summary'" in capsys.readouterr().err
    assert run("audit") == 0
    assert "invalid_declaration" in capsys.readouterr().out


@pytest.mark.parametrize(
    "args",
    [
        ("profile", "apply", "summary", *SUMMARY, "--dry-run"),
        ("profile", "apply", "summary", *SUMMARY, "--dryrun"),
        ("profile", "apply", "summary", "extra", *SUMMARY, "--dry-rum"),
        ("apply", "FILE", "--dry-run"),
        ("apply", "FILE", "--dry-rn"),
    ],
)
def test_dry_run_or_mistyped_flag_changes_nothing(run, control, tmp_path, args):
    """A command must not act before fire has accepted all of its arguments."""
    file = tmp_path / "declarations.toml"
    file.write_text(DECLARED)
    code = run(*(str(file) if arg == "FILE" else arg for arg in args))
    assert code == (0 if "--dry-run" in args else OperatorExit.USAGE)
    assert control.store.revision == 0


def test_change_sent_twice_with_one_change_id_is_applied_once(run, control, capsys):
    """The second reply equals the first; another change can't reuse the id."""
    args = ("profile", "apply", "summary", *SUMMARY, "--change-id", "c1", "--json")
    assert [run(*args), run(*args)] == [0, 0]
    first, second = capsys.readouterr().out.split("}\n", 1)
    assert json.loads(first + "}") == json.loads(second)
    assert control.store.revision == 1
    other = ("profile", "retire", "summary", "--change-id", "c1")
    assert run(*other) == OperatorExit.REFUSED


def test_stale_base_is_refused(run):
    assert run("profile", "apply", "summary", *SUMMARY) == 0
    stale = ("profile", "retire", "summary", "--base", "0")
    assert run(*stale) == OperatorExit.REFUSED


def test_keys_are_stored_as_digests_and_shown_only_when_generated(
    run, control, tmp_path, capsys
):
    key_file = tmp_path / "key"
    key_file.write_text(KEY)
    assert run("workspace", "apply", "fraser", "--share", "2") == 0
    assert run("workspace", "add-key", "fraser", "--key-file", str(key_file)) == 0
    capsys.readouterr()
    assert run("workspace", "add-key", "fraser") == 0
    generated = capsys.readouterr().out.splitlines()[-1]
    digests = control.store.config.workspaces["fraser"].key_digests
    assert digests == (key_digest(KEY), key_digest(generated))
    assert run("workspace", "remove-key", "fraser", "--digest", digests[0][:12]) == 0
    assert control.store.config.workspaces["fraser"].key_digests == digests[1:]
    assert run("workspace", "list") == 0
    assert run("workspace", "show", "fraser") == 0
    assert run("audit", "--json") == 0
    shown = capsys.readouterr().out
    assert KEY not in shown and generated not in shown
    revision = control.store.revision
    assert (
        run("workspace", "remove-key", "fraser", "ffffffff0000") == OperatorExit.REFUSED
    )
    assert control.store.revision == revision
    assert run("workspace", "add-key", "nobody") == OperatorExit.REFUSED
    key_file.write_text("short")
    weak = run("workspace", "add-key", "fraser", "--key-file", str(key_file))
    assert weak == OperatorExit.USAGE


@pytest.mark.parametrize("digest", ["00000000", "0", "07", "0" * 64])
def test_digest_of_another_key_removes_no_key(run, control, tmp_path, digest):
    """A digest that fire changed, or that is too short, must not match other keys."""
    # fire reads 00000000 as the number 0, and "0" is a prefix of this key's digest.
    keys = (f"key-{number:016d}" for number in range(10**4))
    key = next(key for key in keys if key_digest(key).startswith("07"))
    (tmp_path / "key").write_text(key)
    assert run("workspace", "apply", "fraser") == 0
    key_file = str(tmp_path / "key")
    assert run("workspace", "add-key", "fraser", "--key-file", key_file) == 0
    assert run("workspace", "remove-key", "fraser", digest) != 0
    assert control.store.config.workspaces["fraser"].key_digests == (key_digest(key),)


def test_upstream_is_marked_as_leaving_and_gets_an_order(run, control, capsys):
    assert run("upstream", "leave", "e1") == 0
    assert control.store.config.leaving == {"e1"}
    assert run("upstream", "list", "--json") == 0
    assert run("upstream", "leave", "e1", "--undo") == 0
    assert control.store.config.leaving == frozenset()
    order_args = ("upstream", "order", "e1", "load_weights", "m1", "v2")
    assert run(*order_args) == OperatorExit.REFUSED
    record = UpstreamRecord("e1", "i", 1, "127.0.0.1:1", "z", "r", "p", "completion")
    control.directory.offer(record, time.monotonic())
    assert run(*order_args) == 0
    capsys.readouterr()
    assert run("upstream", "orders", "--json") == 0
    (order,) = json.loads(capsys.readouterr().out)["orders"]
    assert (order["upstream"], order["version"]) == ("e1", "v2")


def test_applying_a_file_shows_its_difference(run, control, tmp_path, capsys):
    file = tmp_path / "declarations.toml"
    file.write_text(DECLARED)
    assert run("apply", str(file)) == 0
    shown = capsys.readouterr().out
    assert "+ profile summary" in shown and "kind: 'completion'" in shown
    assert run("workspace", "add-key", "fraser") == 0
    file.write_text(DECLARED.replace("2.0", "3.0"))
    capsys.readouterr()
    assert run("apply", str(file)) == 0
    assert "share: 2.0 -> 3.0" in capsys.readouterr().out
    fraser = control.store.config.workspaces["fraser"]
    assert fraser.share == 3.0 and len(fraser.key_digests) == 1
    assert run("apply", str(file)) == 0
    assert "no difference" in capsys.readouterr().out
    file.write_text("")
    assert run("apply", str(file), "--retire") == 0
    assert control.store.config.profiles == {}


def test_every_fault_in_a_file_is_reported_with_its_key(run, control, tmp_path, capsys):
    file = tmp_path / "declarations.toml"
    file.write_text(FAULTY)
    assert run("apply", str(file)) == OperatorExit.USAGE
    lines = capsys.readouterr().err.splitlines()
    keys = [line.split(": ")[1] for line in lines]
    assert all(line.startswith(str(file)) for line in lines)
    assert sorted(keys) == [
        "profile",
        "profiles.summary.deadline_s",
        "profiles.summary.modle",
        "workspaces.fraser.share",
    ]


def test_wait_names_the_process_that_is_behind(run, control, capsys):
    behind = RevisionStatus("entry", "entry-7", "i1", "z1", 0, received_at=1e12)
    control._acknowledgements.record_status(behind)
    args = ("profile", "apply", "summary", *SUMMARY, "--wait", "--timeout-s", "1")
    assert run(*args) == OperatorExit.NOT_IN_FORCE
    assert "entry-7" in capsys.readouterr().err
    assert run("status") == 0
    assert "entry-7" in capsys.readouterr().out


def test_wait_does_not_succeed_before_control_has_received_all_statuses(run, control):
    """Right after its start control has no statuses, and no process seems behind."""
    control._acknowledgements.start(now=1e12)
    args = ("profile", "apply", "summary", *SUMMARY, "--wait", "--timeout-s", "0.1")
    assert run(*args) == OperatorExit.NOT_IN_FORCE


def test_wrong_token_or_unreachable_control_sets_the_exit_code(
    run, control, tmp_path, capsys
):
    wrong = tmp_path / "wrong"
    wrong.write_text("not the token")
    assert run("status", "--token-file", str(wrong)) == OperatorExit.REFUSED
    nobody = ("profile", "retire", "x", "--control", "http://127.0.0.1:1")
    assert run(*nobody, "--timeout-s", "0.1") == OperatorExit.NO_ANSWER


def test_quarantined_parts_are_listed_and_released(run, control, capsys):
    bad = part_digest("m", b"bad")
    for number in range(3):
        runs = LostRuns(prompts=((request(number), bad),))
        control.ended_incarnations.report(f"u{number}", runs, time.monotonic())
    digest = parts_text([bad])
    assert run("request", "quarantined") == 0
    assert capsys.readouterr().out.split() == ["DIGEST", "ENDED", digest, "3"]
    assert run("request", "release", digest) == 0
    assert control.ended_incarnations.harmful_parts == ()
    assert run("request", "release", digest) == OperatorExit.REFUSED


def test_quarantined_request_is_listed_and_released(run, control, capsys):
    digest = fingerprint_text(request(1))
    for incarnation in ("u1", "u2", "u3"):
        control.ended_incarnations.report(incarnation, lost(1), time.monotonic())
    assert run("request", "quarantined") == 0
    assert capsys.readouterr().out.split() == ["DIGEST", "ENDED", digest, "3"]
    assert run("request", "quarantined", "--json") == 0
    [row] = json.loads(capsys.readouterr().out)["quarantined"]
    assert row == {"digest": digest, "ended": ["u1", "u2", "u3"]}
    assert run("request", "release", digest) == 0
    assert control.ended_incarnations.quarantined() == ()
    assert run("request", "release", digest) == OperatorExit.REFUSED
    assert f"no quarantined request '{digest}'" in capsys.readouterr().err
    assert run("audit") == 0
    assert "release" in capsys.readouterr().out
