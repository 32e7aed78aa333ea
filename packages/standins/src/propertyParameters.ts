/** Seed of property tests unless `FAST_CHECK_SEED` is set. */
const DEFAULT_SEED = 20261204;

/**
 * Returns the seed and number of runs of a property test. `FAST_CHECK_RUNS` replaces `defaultRuns`,
 * for longer tests than in CI.
 */
export function propertyParameters(defaultRuns: number): { seed: number; numRuns: number } {
  return {
    seed: Number(process.env.FAST_CHECK_SEED ?? DEFAULT_SEED),
    numRuns: Number(process.env.FAST_CHECK_RUNS ?? defaultRuns),
  };
}
