"""Types that decisions and services share: messages, settings, objects.

Field names end in their unit.  The wire format of a type is in its module.
"""
