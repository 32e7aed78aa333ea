import assert from 'node:assert/strict';
import test from 'node:test';
import { create } from '@bufbuild/protobuf';
import { KeeperSchema, type Reply, ReplySchema } from '@marjorampin/protocol';
import { ManualClock, toCallError } from '@marjorampin/types';
import { callQuorum } from '../callQuorum';

const HEDGE_MS = 40;
const TIMEOUT_MS = 900;

/** Behavior of keepers in the order of calls: `+` replies, `-` fails, after that many ms. */
const CASES = [
  {
    name: 'resolves once the first majority replies',
    keepers: ['+5', '+5', '+5'],
    called: 2,
    outcome: 'ok',
  },
  {
    name: 'calls another keeper in place of a failed one',
    keepers: ['-5', '+5', '+5'],
    called: 3,
    outcome: 'ok',
  },
  {
    name: 'calls the remaining keepers after the hedge delay',
    keepers: ['+5', '+99', '+5'],
    called: 3,
    outcome: 'ok',
  },
  {
    name: 'calls only as many more keepers as replies are missing',
    keepers: ['+5', '+5', '+99', '+5', '+5'],
    needed: 3,
    called: 4,
    outcome: 'ok',
  },
  {
    name: 'calls no more keepers if a reply is read right after the hedge delay',
    keepers: ['+5', '+40.5', '+5'],
    called: 2,
    outcome: 'ok',
  },
  {
    name: 'calls all keepers when those called after the delay are slow too',
    keepers: ['+5', '+500', '+500', '+5'],
    needed: 2,
    called: 4,
    outcome: 'ok',
  },
  {
    name: 'resolves if a keeper fails after all were called',
    keepers: ['+5', '+90', '-60', '+70', '+75'],
    needed: 3,
    called: 5,
    outcome: 'ok',
  },
  {
    name: 'replaces two keepers that fail one after the other',
    keepers: ['+5', '-10', '-10', '+5', '+5'],
    needed: 2,
    called: 4,
    outcome: 'ok',
  },
  {
    name: 'rejects if too many keepers fail',
    keepers: ['-5', '-5', '+5'],
    called: 3,
    outcome: 'keepers-unavailable',
  },
  {
    name: 'rejects if too few keepers reply before the timeout',
    keepers: ['+5', '+5000', '+5000'],
    called: 3,
    outcome: 'keepers-unavailable',
  },
  {
    name: 'rejects a group that is smaller than the quorum',
    keepers: ['+5'],
    called: 0,
    outcome: 'keepers-unavailable',
  },
  { name: 'rejects an empty group', keepers: [], called: 0, outcome: 'keepers-unavailable' },
];

CASES.forEach(({ name, keepers, needed = 2, called, outcome }) => {
  test(`callQuorum ${name}`, async () => {
    const clock = new ManualClock();
    let count = 0;
    const call = async (_: unknown, index: number): Promise<Reply> => {
      count += 1;
      const behavior = keepers[index] ?? '';
      await clock.sleep(Number(behavior.slice(1)));
      if (behavior.startsWith('-')) throw new Error('the keeper failed');
      return create(ReplySchema);
    };
    const group = keepers.map((id) => create(KeeperSchema, { id }));
    const options = { group, needed, hedgeMs: HEDGE_MS, timeoutMs: TIMEOUT_MS, clock, call };
    const result = callQuorum(options).then(
      (replies) => {
        assert.equal(replies.length, needed);
        return 'ok';
      },
      (error: unknown) => toCallError(error).kind,
    );
    await clock.advance(10 * TIMEOUT_MS);
    assert.equal(await result, outcome);
    assert.equal(count, called);
  });
});
