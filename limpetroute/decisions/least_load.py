"""Least reported load: a baseline that trusts lagging reports."""

from limpetroute.decisions import load_report
from limpetroute.decisions import round_robin
from limpetroute.decisions import runner_facts


class LeastLoad(round_robin.RoundRobin):
    """Sends each request to the runner that reported the least load.

    Load pattern: steady and light. Because reports lag, all requests
    between two reports go to the same runner (herding), which the bench
    shows.
    """

    __slots__ = ('_reports',)

    def __init__(self) -> None:
        super().__init__()
        self._reports: dict[str, load_report.LoadReport] = {}

    def on_report(self, report: load_report.LoadReport, now_s: float) -> None:
        """Store the newest report."""
        self._reports[report.runner_id] = report

    def _load(self, facts: runner_facts.RunnerFacts) -> int:
        report = self._reports.get(facts.runner_id)
        if report is None:
            return 0
        if facts.role is runner_facts.Role.PREFILL:
            return report.waiting_tokens
        return report.running

    def _choose(
        self, candidates: list[runner_facts.RunnerFacts]
    ) -> runner_facts.RunnerFacts:
        return min(candidates, key=self._load)
