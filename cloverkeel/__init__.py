"""cloverkeel: a load-balancing gateway; the decision module caperdrift chooses the hosts."""
