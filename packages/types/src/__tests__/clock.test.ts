import assert from 'node:assert/strict';
import test from 'node:test';
import { MAXIMUM_TIMER_MS, SystemClock } from '../clock';

/** Times for which Node.js, without a limit, would wait one millisecond. */
const LONG_TIMES = [MAXIMUM_TIMER_MS + 1, 2 ** 53 + 1, 1e308, Infinity];

LONG_TIMES.forEach((ms) => {
  test(`a wait of ${ms} ms does not end at once`, async () => {
    const clock = new SystemClock();
    const ended: string[] = [];
    const cancel = clock.after(ms, () => ended.push('after'));
    const controller = new AbortController();
    const slept = clock.sleep(ms, controller.signal).then(
      () => ended.push('sleep'),
      () => undefined,
    );
    // A wait of one millisecond would end before this one.
    await clock.sleep(20);
    assert.deepEqual(ended, []);
    cancel();
    controller.abort();
    await slept;
  });
});
