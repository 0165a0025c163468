"""Internal package; import from liftmount instead."""
