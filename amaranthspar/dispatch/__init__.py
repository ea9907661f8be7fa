"""Decision logic of a gateway: admission, queueing, routing and answers."""
