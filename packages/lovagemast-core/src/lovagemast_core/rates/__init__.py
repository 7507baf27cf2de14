"""Distributed rate limiting: rate shares, token buckets and token loans."""
