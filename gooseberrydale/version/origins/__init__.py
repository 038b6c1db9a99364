"""What began each stream, so that it goes on only where its events fit together.

``origin`` has the rule; ``store`` keeps the origins that a process knows, ``owners``
selects the gateways that keep one for the others, ``messages`` are exchanged by them.
"""
