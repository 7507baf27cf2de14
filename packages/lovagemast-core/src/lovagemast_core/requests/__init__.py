"""The request path of a VM: filters, dispatch, retries, response."""
