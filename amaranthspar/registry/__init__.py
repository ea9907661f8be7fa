"""The replicated state of the controllers and the requests for it."""
