/** When a commit that keepers don't answer ends. */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { MemoryEventLog } from '@marjorampin/logging';
import { loadHash } from '@marjorampin/membership';
import { RosterSchema, TurnRecordSchema } from '@marjorampin/protocol';
import { CallError, ManualClock } from '@marjorampin/types';
import { TurnStore } from '../turnStore';

const ROSTER = create(RosterSchema, {
  version: 1,
  keepers: ['a', 'b', 'c'].map((id) => ({ id, address: id, domain: id, disk: id })),
});
const STEP_MS = 10;
const LIMIT_MS = 60_000;
/** What a stopping entry leaves after the deadline of a request. */
const STOP_MARGIN_MS = 250;
const hash = await loadHash();

type Keepers = 'silent' | 'not ready';

const CALLS = {
  silent: () =>
    new Promise<never>(() => {
      // Never settles.
    }),
  'not ready': () =>
    Promise.reject(new CallError({ kind: 'connection-lost', message: 'the keeper restarts' })),
};

/** Returns the milliseconds after which a commit with this deadline ends. */
async function timeOfCommit({
  keepers,
  deadlineMs,
  leavesAtMs,
}: {
  keepers: Keepers;
  deadlineMs: number;
  leavesAtMs?: number | undefined;
}): Promise<number> {
  const clock = new ManualClock();
  const peers = { get: () => ({ call: CALLS[keepers] }), drop: () => undefined };
  const log = new MemoryEventLog();
  const turns = new TurnStore({ peers, hash, lossLimit: 1, domain: 'a', clock, log });
  turns.adopt(ROSTER);
  const caller = new AbortController();
  if (leavesAtMs !== undefined) clock.after(leavesAtMs, () => caller.abort());
  const record = create(TurnRecordSchema, { program: 'p', turn: 't', retentionMs: 60_000 });
  let endedAtMs: number | undefined;
  turns
    .commit(record, { deadlineMs, signal: caller.signal })
    .then(() => assert.fail('no keeper has stored the turn'))
    .catch(() => {
      endedAtMs = clock.now();
    });
  while (endedAtMs === undefined && clock.now() < LIMIT_MS) await clock.advance(STEP_MS);
  turns.stop();
  return endedAtMs ?? Infinity;
}

const KEEPERS: Keepers[] = ['silent', 'not ready'];

KEEPERS.forEach((keepers) => {
  describe(`LOST: a stop cuts no commit after its deadline, keepers are ${keepers}`, () => {
    [0, 40, 99, 500, 950, 1_000, 1_900, 4_950, 10_000].forEach((deadlineMs) => {
      test(`with ${deadlineMs} ms left, a commit ends before a stop does`, async () => {
        const endedAtMs = await timeOfCommit({ keepers, deadlineMs });
        const lateMs = endedAtMs - deadlineMs;
        assert.ok(lateMs < STOP_MARGIN_MS, `${lateMs} ms after the deadline`);
      });
    });
  });

  describe(`LOST: a caller that has left holds up no stop, keepers are ${keepers}`, () => {
    [
      { leavesAtMs: 0, untilMs: 1_900 },
      { leavesAtMs: 500, untilMs: 1_900 },
      { leavesAtMs: 3_000, untilMs: 3_900 },
      { leavesAtMs: 9_000, untilMs: 9_900 },
    ].forEach(({ leavesAtMs, untilMs }) => {
      test(`a commit ends ${untilMs} ms after its begin if its caller leaves at ${leavesAtMs} ms`, async () => {
        const endedAtMs = await timeOfCommit({ keepers, deadlineMs: 30_000, leavesAtMs });
        assert.ok(endedAtMs <= untilMs, `ended at ${endedAtMs} ms`);
      });
    });

    test('a commit goes on until its deadline while its caller waits', async () => {
      const deadlineMs = 10_000;
      const endedAtMs = await timeOfCommit({ keepers, deadlineMs });
      assert.ok(endedAtMs > deadlineMs - 1_000, `ended at ${endedAtMs} ms`);
    });
  });
});
