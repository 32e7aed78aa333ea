/** Seed of property tests; `FAST_CHECK_SEED` replaces it. */
const SEED = 20261204;

/** Seed and number of runs of a property: `FAST_CHECK_RUNS` asks for more than CI plays. */
export function propertyRuns(defaultRuns: number): { seed: number; numRuns: number } {
  return {
    seed: Number(process.env.FAST_CHECK_SEED ?? SEED),
    numRuns: Number(process.env.FAST_CHECK_RUNS ?? defaultRuns),
  };
}
