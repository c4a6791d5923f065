/**
 * Benchmarks of the router. The package exports nothing; its programs are
 * started by the `bench:*` scripts of the root package.
 *
 * @packageDocumentation
 */
export {};
