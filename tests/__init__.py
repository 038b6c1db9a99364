"""Tests of gooseberrydale and the builders that they share."""
