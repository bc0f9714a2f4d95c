"""Run the requests and the durable tasks of an entry."""
