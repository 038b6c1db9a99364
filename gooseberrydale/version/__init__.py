"""State that lives for one version of configuration, weights or log."""
