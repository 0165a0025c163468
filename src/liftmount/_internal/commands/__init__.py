"""Commands of the operators' tool; each module defines ``COMMAND``."""
