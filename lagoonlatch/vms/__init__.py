"""The other VMs of the system: thrift client and server."""
