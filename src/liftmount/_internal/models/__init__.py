"""Types that decisions and services share: messages, settings, objects.

Fields carry their unit as a suffix; wire forms stand beside their types.
"""
