"""Connect an entry to sidecars and other entries; track the endpoints."""
