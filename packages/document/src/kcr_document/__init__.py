"""Read, check, compare and convert the document that operators write."""
