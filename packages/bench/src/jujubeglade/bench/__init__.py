"""Demo, load and soak."""
