"""The process-wide objects that requests use."""

from __future__ import annotations

from dataclasses import dataclass

from gooseberrydale.connection.channels import ChannelPool
from gooseberrydale.process.cfg import EntryCfg, FleetCfg, NodeCfg
from gooseberrydale.process.instruments import Instruments
from gooseberrydale.process.quota_client import QuotaClient
from gooseberrydale.request.answer_memory import AnswerMemory
from gooseberrydale.request.background import Background
from gooseberrydale.request.config_sync import ConfigSync
from gooseberrydale.request.retry import RetryBudget
from gooseberrydale.request.routing import Policy
from gooseberrydale.request.startup_grace import StartupGrace
from gooseberrydale.version.config_store import ConfigStore
from gooseberrydale.version.confirmed_revision import ConfirmedRevision
from gooseberrydale.version.directory import Directory
from gooseberrydale.version.ended_incarnations import EndedIncarnations


@dataclass(frozen=True, slots=True)
class Deps:
    """Shared objects that a request uses but does not own.

    ``startup_grace`` says whether the process started recently: then a request may wait
    briefly for the first configuration and upstream records.
    """

    cfg: EntryCfg
    node: NodeCfg
    fleet: FleetCfg
    store: ConfigStore
    confirmed: ConfirmedRevision
    directory: Directory
    pool: ChannelPool
    policy: Policy
    budget: RetryBudget
    background: Background
    config_sync: ConfigSync
    instruments: Instruments
    startup_grace: StartupGrace
    ended_incarnations: EndedIncarnations
    quotas: QuotaClient
    answers: AnswerMemory
