"""Messages, settings and bodies, generated from the schema or read by libraries."""
