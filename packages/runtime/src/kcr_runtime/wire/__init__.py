"""Carry messages between processes over websockets with CBOR."""
