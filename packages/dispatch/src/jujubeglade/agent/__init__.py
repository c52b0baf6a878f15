"""The agent role: home of jobs and executor of tasks."""
