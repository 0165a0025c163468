"""Builds the deployed form of the program.

Imports dominate the start time on a small instance.  ``plain_classes``
replaces attrs classes by plain ones, so that none are generated at start.
``archive`` puts the compiled modules into one file, which
``liftmount.platform.launcher`` loads.  The source stays unchanged.
"""
