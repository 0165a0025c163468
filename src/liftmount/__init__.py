"""Liftmount: a layer-4 load balancer, and its decisions as a library."""
