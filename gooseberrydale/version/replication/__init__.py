"""The replicated log of the control role, an implementation of Raft.

``raft`` and the modules that it uses decide without IO; ``storage`` and
``file_storage`` write what they decide to disk.
"""
