import assert from 'node:assert/strict';
import test from 'node:test';
import { runSoak } from '../runSoak';

/** Seeds that CI runs: one for a short run, and every seed that has failed, with the cause. */
const CASES = [
  { seed: '1', cause: 'none: a short run', durationMs: 6_000 },
  { seed: '500', cause: 'streams closed inside an event counted as complete', durationMs: 8_000 },
  { seed: '501', cause: 'the same', durationMs: 15_000 },
  { seed: '502', cause: 'the same', durationMs: 15_000 },
];
/** First loopback network of these tests; soaks started by hand use networks from 20 on. */
const FIRST_NETWORK = 90;

CASES.forEach(({ seed, cause, durationMs }, index) => {
  test(`soak with seed ${seed} (${cause})`, { timeout: 180_000 }, async () => {
    const { broken, faults, keptTurns } = await runSoak({
      seed,
      durationMs,
      network: FIRST_NETWORK + index,
    });
    assert.deepEqual(broken, []);
    assert.ok(faults > 0 && keptTurns > 0, 'the run injected no faults or completed no turns');
  });
});
