"""The heartbeats of an agent.

One entry at a time grants this agent its permits and takes its audit records, in
one exchange each heartbeat; the other entries hear of the agent more rarely, so
that control costs few messages. When the granting entry is silent, lost, or has no
permit to give, the next one is asked at once.

| entry      | every          | carries                  | answered by               |
|------------|----------------|--------------------------|---------------------------|
| granting   | `heartbeat_ms` | load, records            | permit, what is stored    |
| others     | `_NOTICE_MS`   | load                     | permit                    |
"""

import asyncio

from jujubeglade.core import clock

_NOTICE_MS = 10_000
_ANSWER_MS = 400


class Beats:
    """The heartbeats of one agent to all entries."""

    __slots__ = ("_clock", "_courier", "_executor", "_period_ms", "_turn", "_uplinks")

    def __init__(self, agent, uplinks):
        """Prepare the heartbeats; `run` sends them.

        Args:
          agent: The Agent.
          uplinks: A sequence of Uplinks, one for each entry.
        """
        self._clock = agent.clock
        self._courier = agent.courier
        self._executor = agent.executor
        self._period_ms = agent.settings.limits.heartbeat_ms
        self._uplinks = uplinks
        # Agents begin at different entries, so that the entries share the work.
        self._turn = int(agent.identity.incarnation, 16)

    async def run(self):
        """Send heartbeats until cancelled."""
        while True:
            begun_ms = self._clock.now_ms()
            self._executor.flush_records(due_only=True)
            for _ in self._uplinks:
                if await self._is_granted():
                    break
                self._turn += 1
            self._notice_others()
            left_ms = begun_ms + self._period_ms - self._clock.now_ms()
            await asyncio.sleep(clock.seconds(max(0, left_ms)))

    def announce(self):
        """Tell all entries at once of a change."""
        for each in self._uplinks:
            each.heartbeat(_NOTICE_MS)

    def flush(self):
        """Send the last records before the agent ends."""
        self._granting().heartbeat(self._period_ms, self._courier)

    def _granting(self):
        return self._uplinks[self._turn % len(self._uplinks)]

    async def _is_granted(self):
        """Ask the granting entry for a permit and wait for it."""
        granting = self._granting()
        answered = granting.heartbeat(self._period_ms, self._courier)
        if answered is None:
            return False
        done, _ = await asyncio.wait((answered,), timeout=clock.seconds(_ANSWER_MS))
        return bool(done) and answered.result()

    def _notice_others(self):
        now_ms = self._clock.now_ms()
        for each in self._uplinks:
            if each is not self._granting() and each.sent_ms + _NOTICE_MS <= now_ms:
                each.heartbeat(_NOTICE_MS)
