"""Stand-ins and helpers that the cases of this review share; they use the standard library only."""
