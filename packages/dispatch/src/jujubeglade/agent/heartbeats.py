"""The heartbeats of an agent.

One entry at a time, the granting entry, grants this agent its permits and receives
its audit records, with one message and one answer each heartbeat. The other entries
get heartbeats less often, so that they cost few messages. When the granting entry
doesn't answer, isn't connected, or has no permit to grant, the next entry is asked at
once.

| entry    | interval              | content       | answer                           |
|----------|-----------------------|---------------|----------------------------------|
| granting | `heartbeat_ms`        | load, records | permit, last record stored       |
| others   | `_NOTICE_INTERVAL_MS` | load          | permit                           |
"""

import asyncio

from jujubeglade.core import clock

_NOTICE_INTERVAL_MS = 10_000
_ANSWER_TIMEOUT_MS = 400


class Heartbeats:
    """The heartbeats of one agent to all entries."""

    __slots__ = (
        "_clock",
        "_executor",
        "_granting_index",
        "_period_ms",
        "_record_sender",
        "_uplinks",
    )

    def __init__(self, agent, uplinks):
        """Prepare the heartbeats; `run` sends them.

        Args:
          agent: The Agent.
          uplinks: A sequence of Uplinks, one for each entry.
        """
        self._clock = agent.clock
        self._record_sender = agent.record_sender
        self._executor = agent.executor
        self._period_ms = agent.settings.limits.heartbeat_ms
        self._uplinks = uplinks
        # Agents start with different entries, so that the entries share the work.
        self._granting_index = int(agent.identity.incarnation, 16)

    async def run(self):
        """Send heartbeats until cancelled."""
        while True:
            started_ms = self._clock.now_ms()
            self._executor.flush_records(due_only=True)
            for _ in self._uplinks:
                if await self._request_permit():
                    break
                self._granting_index += 1
            self._notify_others()
            left_ms = started_ms + self._period_ms - self._clock.now_ms()
            await asyncio.sleep(clock.seconds(max(0, left_ms)))

    def announce(self):
        """Send a heartbeat to all entries at once after a change."""
        for uplink in self._uplinks:
            uplink.heartbeat(_NOTICE_INTERVAL_MS)

    def flush(self):
        """Send the last records before the agent stops."""
        self._granting_uplink().heartbeat(self._period_ms, self._record_sender)

    def _granting_uplink(self):
        return self._uplinks[self._granting_index % len(self._uplinks)]

    async def _request_permit(self):
        """Ask the granting entry for a permit; return whether one was granted."""
        uplink = self._granting_uplink()
        permit_answer = uplink.heartbeat(self._period_ms, self._record_sender)
        if permit_answer is None:
            return False
        done, _ = await asyncio.wait(
            (permit_answer,), timeout=clock.seconds(_ANSWER_TIMEOUT_MS)
        )
        return bool(done) and permit_answer.result()

    def _notify_others(self):
        now_ms = self._clock.now_ms()
        for uplink in self._uplinks:
            if (
                uplink is not self._granting_uplink()
                and uplink.sent_ms + _NOTICE_INTERVAL_MS <= now_ms
            ):
                uplink.heartbeat(_NOTICE_INTERVAL_MS)
