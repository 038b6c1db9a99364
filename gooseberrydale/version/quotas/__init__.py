"""Quotas of workspaces over all gateways.

``ledger`` counts one workspace at its owner, ``account`` is what one gateway has spent
and knows, ``owners`` says which gateways count which workspace.  All of it is pure.
"""
