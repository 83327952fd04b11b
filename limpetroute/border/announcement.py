"""Body of a runner's heartbeat."""

import typing

import pydantic

from limpetroute.border import addresses
from limpetroute.border import strict_model
from limpetroute.decisions import load_report
from limpetroute.decisions import runner_facts


class ReportBody(strict_model.StrictModel):
    """Load of the runner, measured ``age_s`` before it was sent."""

    sequence: int
    age_s: float = pydantic.Field(ge=0)
    running: int = pydantic.Field(ge=0)
    waiting: int = pydantic.Field(ge=0)
    waiting_tokens: int = pydantic.Field(ge=0)
    kv_used_bytes: int = pydantic.Field(ge=0)
    step_s: float = pydantic.Field(ge=0)
    runs: list[str] = []


class CacheEventBody(strict_model.StrictModel):
    """Prefix blocks stored or evicted; sequence numbers may have gaps."""

    sequence: int
    stored: list[int] = []
    evicted: list[int] = []


class AnnouncementBody(strict_model.StrictModel):
    """A runner's announcement, which also serves as its heartbeat."""

    runner_id: str = pydantic.Field(min_length=1, max_length=200)
    incarnation: int
    url: addresses.HostUrl
    role: typing.Literal['prefill', 'decode', 'service']
    zone: str
    models: list[str] = []
    service: str | None = None
    slots: int = pydantic.Field(ge=0)
    kv_capacity_bytes: int = pydantic.Field(ge=0)
    kv_bytes_per_token: int = pydantic.Field(ge=0)
    leaving: bool = False
    refuses_old_fence: bool = False
    report: ReportBody | None = None
    cache_events: list[CacheEventBody] = []

    def facts(self) -> runner_facts.RunnerFacts:
        """Return the properties of the runner for the scheduling policy."""
        return runner_facts.RunnerFacts(
            runner_id=self.runner_id,
            incarnation=self.incarnation,
            role=runner_facts.Role(self.role),
            zone=self.zone,
            models=frozenset(self.models),
            slots=self.slots,
            kv_capacity_bytes=self.kv_capacity_bytes,
            kv_bytes_per_token=self.kv_bytes_per_token,
            leaving=self.leaving,
            refuses_old_fence=self.refuses_old_fence,
        )

    def load_report(self, now_s: float) -> load_report.LoadReport | None:
        """Return the load report, with its time on this process's clock."""
        if self.report is None:
            return None
        return load_report.LoadReport(
            runner_id=self.runner_id,
            sequence=self.report.sequence,
            measured_s=now_s - self.report.age_s,
            running=self.report.running,
            waiting=self.report.waiting,
            waiting_tokens=self.report.waiting_tokens,
            kv_used_bytes=self.report.kv_used_bytes,
            step_s=self.report.step_s,
        )
