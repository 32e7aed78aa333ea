import assert from 'node:assert/strict';
import test from 'node:test';
import { BurnRecorder } from '../burnRecorder';
import { mergeBurn } from '../burnReport';

const HOUR_MS = 3_600_000;
const NOW_MS = 100 * HOUR_MS;

const CASES: { name: string; ageMs: number; windows: string[] }[] = [
  { name: 'a minute ago', ageMs: 60_000, windows: ['5 min', '1 h', '6 h', '3 d'] },
  { name: 'half an hour ago', ageMs: HOUR_MS / 2, windows: ['1 h', '6 h', '3 d'] },
  { name: 'two hours ago', ageMs: 2 * HOUR_MS, windows: ['6 h', '3 d'] },
  { name: 'two days ago', ageMs: 48 * HOUR_MS, windows: ['3 d'] },
  { name: 'four days ago', ageMs: 96 * HOUR_MS, windows: [] },
];

CASES.forEach(({ name, ageMs, windows }) => {
  test(`a bad call ${name} counts in exactly the windows that cover it`, () => {
    const recorder = new BurnRecorder();
    recorder.record('lesni-stezka', 'no-endpoint', NOW_MS - ageMs);
    const counts = recorder.counts(NOW_MS);
    const rows = mergeBurn([{ counts, objectives: { 'lesni-stezka': 0.99 } }]);
    const burning = rows.filter(({ bad }) => bad > 0).map(({ window }) => window);
    assert.deepEqual(burning, windows);
  });
});

test('the counts of several processes are merged', () => {
  const objectives = { 'lesni-stezka': 0.9 };
  const processes = [1, 2].map((processNumber) => {
    const recorder = new BurnRecorder();
    for (let call = 0; call < 10; call += 1) {
      recorder.record('lesni-stezka', call < processNumber ? 'endpoint-failed' : '', NOW_MS);
    }
    return { counts: recorder.counts(NOW_MS), objectives };
  });
  const [row] = mergeBurn(processes);
  assert.equal(row?.total, 20);
  assert.deepEqual(row?.causes, { 'endpoint-failed': 3 });
  assert.ok(Math.abs((row?.burn ?? 0) - 1.5) < 1e-9);
});
