"""The demo, load measurements, soaks and fault injection."""
