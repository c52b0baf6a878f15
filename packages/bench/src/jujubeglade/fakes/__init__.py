"""Stand-ins for the platform's store and the upstreams."""
