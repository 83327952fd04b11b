"""Sends of one request so far."""

import typing

from limpetroute.routing import next_step
from limpetroute.routing import route as route_module
from limpetroute.routing import send_result


class SendHistory:
    """Sends of one request so far, which decide its next step.

    Parameters
    ----------
    route : Route
        The request's route.
    """

    def __init__(self, *, route: route_module.Route) -> None:
        self._route = route
        self._ran_before = False
        self._open_sends = 0
        self.failed_connects = 0
        self.sends = 0

    def __repr__(self) -> str:
        return (
            f'{type(self).__name__}(sends={self.sends!r}, '
            f'ran_before={self._ran_before!r})'
        )

    @property
    def allows_another_send(self) -> bool:
        """Whether the route allows another send after the current one."""
        return self.sends + 1 < self._route.max_sends

    @property
    def has_reached_none(self) -> bool:
        """Whether runners were tried and none accepted a connection."""
        return self.failed_connects > 0 and not self.sends

    def may_go_to_peer(self, from_peer: bool) -> bool:
        """Return whether another entry host may continue the request.

        ``from_peer`` is whether one has passed it on: then it goes back only
        if nothing was sent.
        """
        return self.has_reached_none or (self.sends > 0 and not from_peer)

    @property
    def may_have_run(self) -> bool:
        """Whether a runner may have run the request, or may run it now."""
        return self._ran_before or self._open_sends > 0

    def begin_send(self) -> None:
        """Note that the request is being sent to a runner."""
        self._open_sends += 1

    def abandon_send(self) -> None:
        """Note that this host has given up a send that may have run."""
        self._open_sends -= 1
        self.sends += 1
        self._ran_before = True

    def decide(
        self,
        result: send_result.SendResult,
        *,
        remaining_s: float,
        can_retry: typing.Callable[[], bool],
    ) -> next_step.Step:
        """Count a send and return the step that follows it.

        Parameters
        ----------
        result : SendResult
            How the send ended.
        remaining_s : float
            Time left for the answer.
        can_retry : callable
            Returns whether there is another runner and, if the request
            reached a runner before, whether the retry budget allows a
            retry. It is called only if the route allows another send.
        """
        self._open_sends = max(0, self._open_sends - 1)
        if result.reached_runner:
            self.sends += 1
        if result is send_result.SendResult.NOT_SENT:
            self.failed_connects += 1
        context = next_step.RetryContext(
            repeatable=self._route.repeatable,
            result=result,
            ran_before=self._ran_before,
            sends=self.sends,
            max_sends=self._route.max_sends,
            remaining_s=remaining_s,
        )
        step = next_step.next_step(context)
        if step is next_step.Step.RETRY and not can_retry():
            step = next_step.without_retry(context)
        if not result.is_known_not_run:
            self._ran_before = True
        return step

    def final_step(self, step: next_step.Step) -> next_step.Step:
        """Return the step that ends a request, given the earlier sends.

        `REFUSE` becomes `FAIL` if the request may have run, as the caller
        must not be told that it did not run.
        """
        if step is next_step.Step.REFUSE and self._ran_before:
            return next_step.Step.FAIL
        return step
