"""Stand-ins for the platform's store, its workers and the upstreams, and test sites."""
