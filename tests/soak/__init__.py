"""Randomized, seeded faults against real entry VMs, with an oracle of its own."""
