"""Read the configuration from the store and from peers."""
