"""Quotas of workspaces, enforced over all gateways together.

``owners`` selects the gateways that own the count of a workspace.  ``ledger`` counts
one workspace at its owner, ``ledgers`` has all ledgers of one owner.  ``account`` has
what one gateway has spent and the owner's latest answer.  None of these modules does
I/O.
"""
