"""Turns the source into the form that is deployed.

A start on a small instance is bound by what Python does at imports.  Two
steps take that away without a change of the source: ``plain_classes``
writes out the classes that attrs would make at each start, and ``archive``
puts the compiled modules into one file, which ``launcher`` reads.
"""
