"""Steps for the replicated control state: changes, lost disks, leaders, operators."""

from __future__ import annotations

import shutil
import threading
import time
import uuid
from typing import Any

from behave import given, then, when

from gooseberrydale.errors import NO_QUORUM, NOT_LEADER
from tests.fleet import Fleet, wait_until

IN_FORCE_BOUND_S = 4.0
REPAIR_START_S = 3.0
"""Time in which the leader notices a lost disk and reports the repair."""

POLL_S = 0.05


def workspace_edit(name: str) -> dict[str, Any]:
    """Return an edit that declares a workspace."""
    return {"kind": "apply_workspace", "workspace": {"name": name}}


def make_changes(context: Any, count: int) -> None:
    """Make changes one after the other and store the names of those acknowledged."""
    for _ in range(count):
        name = f"w-{uuid.uuid4().hex[:12]}"
        context.fleet.change(workspace_edit(name))
        acknowledged(context).append(name)


def acknowledged(context: Any) -> list[str]:
    """Return the workspaces whose declaration was acknowledged in this scenario."""
    if "names" not in context:
        context.names = []
    names: list[str] = context.names
    return names


def status(fleet: Fleet, name: str) -> dict[str, Any] | None:
    """Return the status that a replica reports, or None if it can't be reached."""
    answer = fleet.operate_at(name, "GET", "/v1/status")
    if answer is None or answer.status_code != 200:
        return None
    report: dict[str, Any] = answer.json()
    return report


def leader(fleet: Fleet, without: str = "") -> str:
    """Wait for a leader other than ``without`` and return its name."""
    leaders: list[str] = []

    def find_leader() -> bool:
        for name in fleet.controls:
            if name == without or not fleet.processes[name].running:
                continue
            answer = status(fleet, name)
            if answer is not None and answer["control"]["role"] == "leader":
                leaders.append(name)
                return True
        return False

    wait_until(find_leader, "no replica leads")
    return leaders[-1]


class RevisionWatch:
    """Polls the revision in force at every process and records each decrease."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._highest: dict[tuple[str, str], int] = {}
        self.decreases: list[str] = []
        self.reads = 0

    def start(self) -> None:
        """Start polling in a thread."""
        self._thread.start()

    def close(self) -> None:
        """Stop the thread."""
        self._stop.set()
        self._thread.join(10.0)

    def _run(self) -> None:
        while not self._stop.wait(POLL_S):
            for control in self._fleet.controls:
                self._read(control)

    def _read(self, control: str) -> None:
        answer = status(self._fleet, control)
        for process in answer["processes"] if answer else ():
            key = control, process["name"]
            revision = int(process["revision"])
            self.reads += 1
            if revision < self._highest.get(key, 0):
                self.decreases.append(f"{key}: {self._highest[key]} -> {revision}")
            self._highest[key] = max(revision, self._highest.get(key, 0))


def watch(context: Any) -> None:
    """Poll the revisions until the scenario ends."""
    context.watch = RevisionWatch(context.fleet)
    context.watch.start()
    context.add_cleanup(context.watch.close)


@given("{count:d} changes were made")
@when("{count:d} changes were made")
def step_changes(context: Any, count: int) -> None:
    """Make ``count`` changes without timing them."""
    make_changes(context, count)


@when("{count:d} changes are made, one after the other")
def step_timed_changes(context: Any, count: int) -> None:
    """Make changes and measure the time until each is in force everywhere."""
    context.in_force_s = []
    for _ in range(count):
        started = time.monotonic()
        make_changes(context, 1)
        revision = context.fleet.revision()
        wait_until(
            lambda r=revision: in_force(context.fleet, r), "not in force everywhere"
        )
        context.in_force_s.append(time.monotonic() - started)


def in_force(fleet: Fleet, revision: int) -> bool:
    """Whether a replica reports ``revision`` as in force at every process."""
    processes = len(fleet.entries) + len(fleet.upstreams)
    answers = [status(fleet, name) for name in fleet.controls]
    return any(
        a is not None
        and a["in_force_everywhere"]
        and a["revision"] >= revision
        and len(a["processes"]) >= processes
        for a in answers
    )


@then("each of them was in force everywhere within {bound_s:g} s")
def step_in_force(context: Any, bound_s: float) -> None:
    """Check the slowest change against the bound; print median and slowest."""
    times = sorted(context.in_force_s)
    median = times[len(times) // 2]
    print(f"in force everywhere: median {median:.3f} s, slowest {times[-1]:.3f} s")
    assert times[-1] <= bound_s, times


@when(
    "{count:d} changes are made while the {victim} is killed and started again"
    " every {every_s:g} s"
)
def step_changes_under_kills(
    context: Any, count: int, victim: str, every_s: float
) -> None:
    """Make changes while the leader, or each follower in turn, is killed."""
    watch(context)
    done = threading.Event()
    faults: list[BaseException] = []

    def run() -> None:
        try:
            make_changes(context, count)
        except BaseException as exc:
            faults.append(exc)
        finally:
            done.set()

    worker = threading.Thread(target=run, daemon=True)
    worker.start()
    kills = 0
    while not done.wait(every_s) or kills == 0:
        lead = leader(context.fleet)
        others = [n for n in context.fleet.controls if n != lead]
        chosen = lead if victim == "leader" else others[kills % len(others)]
        context.fleet.processes[chosen].kill()
        time.sleep(every_s / 4)
        context.fleet.processes[chosen].start()
        kills += 1
    worker.join()
    print(f"{kills} kills of the {victim}")
    assert not faults, faults


@then("every acknowledged change is in the configuration of all replicas")
def step_all_there(context: Any) -> None:
    """Wait until each replica's configuration has every acknowledged workspace."""
    expected = set(acknowledged(context))
    assert expected
    started = time.monotonic()
    for name in context.fleet.controls:
        wait_until(
            lambda n=name: expected <= declared(context.fleet, n),
            f"{name} lacks acknowledged changes",
        )
    print(f"all replicas complete after {time.monotonic() - started:.2f} s")


def declared(fleet: Fleet, name: str) -> set[str]:
    """Return the workspaces in a replica's configuration."""
    answer = fleet.operate_at(name, "GET", "/v1/config")
    if answer is None or answer.status_code != 200:
        return set()
    return {workspace["name"] for workspace in answer.json()["workspaces"]}


@then("the revision never fell at any entry")
def step_never_fell(context: Any) -> None:
    """Check that no process acknowledged a lower revision than before."""
    context.watch.close()
    assert context.watch.reads > 0
    assert not context.watch.decreases, context.watch.decreases


@when("a follower loses its disk and its repair is reported done")
def step_lose_follower(context: Any) -> None:
    """Empty the data folder of a follower and wait for its repair."""
    lead = leader(context.fleet)
    context.lost = next(n for n in context.fleet.controls if n != lead)
    lose_disk(context.fleet, context.lost)
    wait_repaired(context.fleet, context.lost)


@when("another replica loses its disk right after")
def step_lose_second(context: Any) -> None:
    """Empty the data folder of a replica that has not lost its disk before."""
    context.lost = next(n for n in context.fleet.controls if n != context.lost)
    lose_disk(context.fleet, context.lost)


@when("its repair is reported done")
def step_repaired(context: Any) -> None:
    """Wait until the leader reports the repair as done."""
    wait_repaired(context.fleet, context.lost)


def lose_disk(fleet: Fleet, name: str) -> None:
    """Kill a replica, delete its data folder's content, and start it again."""
    fleet.processes[name].kill()
    for path in (fleet.folder / name).iterdir():
        shutil.rmtree(path) if path.is_dir() else path.unlink()
    fleet.processes[name].start()


def wait_repaired(fleet: Fleet, name: str) -> None:
    """Wait until the leader reports the repair of every member as done."""
    started = time.monotonic()

    def repaired() -> bool:
        for control in fleet.controls:
            answer = status(fleet, control)
            if answer is None or answer["control"]["role"] != "leader":
                continue
            repairs = {r["name"]: r["state"] for r in answer["control"]["repairs"]}
            return bool(repairs) and set(repairs.values()) == {"done"}
        return False

    # Until the leader notices the loss, it still reports the earlier state "done".
    wait_until(lambda: status(fleet, name) is not None, f"{name} does not answer")
    time.sleep(REPAIR_START_S)
    wait_until(repaired, f"{name} is not repaired")
    print(f"{name} repaired after {time.monotonic() - started:.2f} s")


@when("the leader is frozen")
def step_freeze_leader(context: Any) -> None:
    """Suspend the leader's process with SIGSTOP."""
    watch(context)
    context.frozen = leader(context.fleet)
    context.old_revision = context.fleet.revision()
    context.fleet.processes[context.frozen].freeze()


@when("the frozen leader thaws and is sent a change for its own revision")
def step_thaw_leader(context: Any) -> None:
    """Resume the old leader and at once send it a change based on its revision."""
    context.fleet.processes[context.frozen].thaw()
    edit = workspace_edit("from-the-old-leader")
    body = {
        "change_id": uuid.uuid4().hex,
        "base": context.old_revision,
        "edits": [edit],
    }
    context.answer = context.fleet.operate_at(
        context.frozen, "POST", "/v1/changes", body
    )


@then("that change was refused and changed nothing")
def step_refused(context: Any) -> None:
    """Check that the old leader did not commit a change on an old revision."""
    answer = context.answer
    assert answer is None or answer.status_code in (409, 421, 503), answer.text
    for name in context.fleet.controls:
        assert "from-the-old-leader" not in declared(context.fleet, name)


@when(
    "two operators send different changes for the same revision {times:d} times",
)
def step_race(context: Any, times: int) -> None:
    """Send the leader two changes at the same time for the same base revision."""
    context.races = []
    lead = leader(context.fleet)
    for number in range(times):
        base = context.fleet.revision()
        answers: list[int] = []

        def send(name: str, base: int = base, answers: list[int] = answers) -> None:
            body = {
                "change_id": uuid.uuid4().hex,
                "base": base,
                "edits": [workspace_edit(name)],
            }
            answer = context.fleet.operate_at(lead, "POST", "/v1/changes", body)
            answers.append(answer.status_code)

        threads = [
            threading.Thread(target=send, args=(f"race-{number}-{operator}",))
            for operator in ("ana", "ben")
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        context.races.append(sorted(answers))


@then("each time one was taken and the other got revision_conflict")
def step_one_taken(context: Any) -> None:
    """Check that exactly one change of each pair was committed."""
    assert context.races and all(r == [200, 409] for r in context.races), context.races


@when("a change is sent and its answer is lost")
def step_change_lost_answer(context: Any) -> None:
    """Send a change; the scenario treats its answer as lost."""
    context.resent = {
        "change_id": uuid.uuid4().hex,
        "base": context.fleet.revision(),
        "edits": [workspace_edit("answer-lost")],
    }
    context.first = context.fleet.operate("POST", "/v1/changes", context.resent)
    acknowledged(context).append("answer-lost")


@when("all control replicas are killed and started again")
def step_restart_control(context: Any) -> None:
    """Kill and restart all replicas; print the time until one leads."""
    fleet = context.fleet
    for name in fleet.controls:
        fleet.processes[name].kill()
    started = time.monotonic()
    for name in fleet.controls:
        fleet.processes[name].start()
    leader(fleet)
    print(f"control leads again after {time.monotonic() - started:.2f} s")


@when("the first change is sent again to each replica")
def step_resend(context: Any) -> None:
    """Send the same change to every replica, until a leader has answered.

    A replica that doesn't lead, and one that lost the lead meanwhile, say that they
    can't answer.  Leadership may move between the requests of one round.
    """
    context.resend_answers = []

    def has_answer() -> bool:
        for name in context.fleet.controls:
            answer = context.fleet.operate_at(
                name, "POST", "/v1/changes", context.resent
            )
            unsettled = (NOT_LEADER.status, NO_QUORUM.status)
            if answer is not None and answer.status_code not in unsettled:
                context.resend_answers.append(answer.json())
        return bool(context.resend_answers)

    wait_until(has_answer, "no replica answers the change that is sent again")


@then("each answer names the revision of the first time")
def step_same_answer(context: Any) -> None:
    """Check that the leader answers the resend with the first answer's revision."""
    assert context.resend_answers
    revision = context.first["revision"]
    assert all(
        a["revision"] == revision for a in context.resend_answers
    ), context.resend_answers
