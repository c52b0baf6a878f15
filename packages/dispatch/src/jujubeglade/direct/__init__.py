"""Direct jobs: jobs whose outcome is the response to their submission."""
