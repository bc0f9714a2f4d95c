"""Keep the connections to agents and other schedulers."""
