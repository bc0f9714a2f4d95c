"""Hold the connections of an entry and its view of the endpoints."""
