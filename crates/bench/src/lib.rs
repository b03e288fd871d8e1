//! Benchmarks, simulations and fault tests; the code is in the binary `fulmarpath-bench`.
