"""Exchange CBOR messages between processes over WebSocket connections."""
