// Carries the precompiled header.
