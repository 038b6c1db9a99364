"""The replicated log of the control role, after Raft's published description.

Pure decisions (``raft`` and the modules that it is split into) and the files that
keep them (``storage``).  A log lives as long as its cluster.
"""
