"""Which target a request goes to, by what VMs know of them."""
