"""How fast each upstream works, learned from its answers and stated by it."""
