"""Small stand-ins for the outside: platform, upstreams, network faults."""
