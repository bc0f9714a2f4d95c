"""Parse, validate, compare and convert the documents of operators."""
