import assert from 'node:assert/strict';
import test from 'node:test';
import { runPlannedSoak } from '../runPlannedSoak';

/** Seeds that CI runs: one for a short run, and every seed that has failed, with the cause. */
const CASES = [{ seed: '1', cause: 'none: a short run', durationMs: 5_000 }];
/** First loopback network of these tests. */
const FIRST_NETWORK = 96;

CASES.forEach(({ seed, cause, durationMs }, index) => {
  const name = `LOST: planned work cuts requests (soak with seed ${seed}, ${cause})`;
  test(name, { timeout: 180_000 }, async () => {
    const { broken, faults, keptTurns } = await runPlannedSoak({
      seed,
      durationMs,
      network: FIRST_NETWORK + index,
    });
    assert.deepEqual(broken, []);
    assert.ok(faults > 0 && keptTurns > 0, 'no planned work was done or no turn completed');
  });
});
