"""Hold the HTTP front end of an entry."""
