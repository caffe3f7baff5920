"""Choice of the place that serves a request."""
