"""Suspicion: whether a task is given up because workers crash under it.

An entry learns of crashes from the agents, also of crashes under tasks that another
entry has sent. So what is known of a task outlives the entry that owned it, and counts
when its client submits the job again.

| a crash is charged to                               | if                          |
|-----------------------------------------------------|-----------------------------|
| the task on probation                               | there was exactly one       |
| the attempts that had not survived their probation  | otherwise, if there are any |
| all attempts of the worker                          | otherwise                   |

A task is given up after two charges, one of them while it alone was on probation, or
after three. What it ran beside is charged once by chance, and survives its probation. A
cause that shows only late in a run is rarely charged; so a task is also given up
when four workers have crashed under it, whoever is charged.
"""

import collections

from jujubeglade.direct import owned_job

#: The tasks that an entry remembers.
_MAX_TASKS = 20_000
_MAX_CHARGES = 3
_MAX_CHARGES_IF_SINGLED_OUT = 2
_MAX_CRASHES = 4


class TaskRecord:
    """What is known of one task under which workers have crashed."""

    __slots__ = ("charges", "crashes", "was_singled_out")

    def __init__(self):
        """Create the record of a task without a crash."""
        #: The number of workers that crashed while they ran it.
        self.crashes = 0
        #: The number of these crashes that are charged to it.
        self.charges = 0
        #: Whether one of these is charged to it alone, as it was on probation.
        self.was_singled_out = False

    @property
    def is_hopeless(self):
        """Return whether the task is given up."""
        if self.was_singled_out and self.charges >= _MAX_CHARGES_IF_SINGLED_OUT:
            return True
        return self.charges >= _MAX_CHARGES or self.crashes >= _MAX_CRASHES


class Suspicions:
    """The tasks under which workers have crashed, as one entry has heard."""

    __slots__ = ("_crash_names", "_records")

    def __init__(self):
        """Create the record of an entry that has heard of no crash."""
        # The names of the crashes that are counted, in order; the values are None.
        self._crash_names = collections.OrderedDict()
        self._records = collections.OrderedDict()

    def note(self, crash):
        """Count a crash, unless it is counted already.

        Args:
          crash: A Crash.

        Returns:
          A boolean, whether it was new.
        """
        if crash.name in self._crash_names:
            return False
        _remember(self._crash_names, crash.name, None)
        charged = set(_charged(crash))
        for task in crash.tasks:
            record = self._records.get(task)
            if record is None:
                record = TaskRecord()
                _remember(self._records, task, record)
            record.crashes += 1
            record.charges += task in charged
            record.was_singled_out |= crash.on_probation == (task,)
        return True

    def find(self, task):
        """Return the TaskRecord of a task; None if no worker crashed under it.

        Args:
          task: A TaskName.
        """
        return self._records.get(task)

    def mark(self, job):
        """Mark the tasks of a job that are to be started on probation.

        Args:
          job: An OwnedJob.
        """
        for task in job.all_tasks():
            record = self._records.get(task.name)
            if record is not None and record.charges:
                task.is_suspect = True

    def hopeless_task(self, job):
        """Return a task of a job that is given up, or None.

        A crash may be proved after the task has ended as done elsewhere.

        Args:
          job: An OwnedJob.

        Returns:
          An OwnedTask, or None.
        """
        for task in job.all_tasks():
            record = self._records.get(task.name)
            is_done = task.phase is owned_job.Phase.DONE
            if record is not None and record.is_hopeless and not is_done:
                return task
        return None


def _charged(crash):
    """Return the tasks to which a crash is charged."""
    if len(crash.on_probation) == 1:
        return crash.on_probation
    return crash.young or crash.tasks


def _remember(ordered, key, value):
    """Add an item to an OrderedDict, which forgets its oldest when it is full."""
    ordered[key] = value
    if len(ordered) > _MAX_TASKS:
        ordered.popitem(last=False)


def new_suspicions():
    """Make the record of an entry that has heard of no crash.

    Returns:
      A Suspicions.
    """
    return Suspicions()


def crash_reason(task):
    """Return why a job is given up, as a text for its client and the log.

    Args:
      task: An OwnedTask.
    """
    return f"workers crashed under task {task.name}"
