"""Tests of liftmount."""
