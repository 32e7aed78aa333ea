import assert from 'node:assert/strict';
import test from 'node:test';
import { create } from '@bufbuild/protobuf';
import { KeeperSchema, type Reply, ReplySchema } from '@marjorampin/protocol';
import { ManualClock, toCallError } from '@marjorampin/types';
import { askQuorum } from '../askQuorum';

const HEDGE_MS = 40;
const TIMEOUT_MS = 900;

/** What keepers do in the order in which they are asked: `+` answers, `-` fails, after so many ms. */
const CASES = [
  { name: 'the first majority answers', keepers: ['+5', '+5', '+5'], asked: 2, outcome: 'ok' },
  { name: 'one that fails is replaced', keepers: ['-5', '+5', '+5'], asked: 3, outcome: 'ok' },
  {
    name: 'the rest is asked after a while',
    keepers: ['+5', '+99', '+5'],
    asked: 3,
    outcome: 'ok',
  },
  {
    name: 'one that fails after the others were asked',
    keepers: ['+5', '+5', '-60', '+5', '+60'],
    needed: 3,
    asked: 5,
    outcome: 'ok',
  },
  {
    name: 'two fail one after the other',
    keepers: ['+5', '-10', '-10', '+5', '+5'],
    needed: 2,
    asked: 4,
    outcome: 'ok',
  },
  { name: 'too many fail', keepers: ['-5', '-5', '+5'], asked: 3, outcome: 'keepers-unavailable' },
  {
    name: 'too few answer',
    keepers: ['+5', '+5000', '+5000'],
    asked: 3,
    outcome: 'keepers-unavailable',
  },
  { name: 'no keeper is known', keepers: [], asked: 0, outcome: 'keepers-unavailable' },
];

CASES.forEach(({ name, keepers, needed = 2, asked, outcome }) => {
  test(`quorum: ${name}`, async () => {
    const clock = new ManualClock();
    let count = 0;
    const ask = async (_: unknown, index: number): Promise<Reply> => {
      count += 1;
      const act = keepers[index] ?? '';
      await clock.sleep(Number(act.slice(1)));
      if (act.startsWith('-')) throw new Error('it fails');
      return create(ReplySchema);
    };
    const group = keepers.map((id) => create(KeeperSchema, { id }));
    const options = { group, needed, hedgeMs: HEDGE_MS, timeoutMs: TIMEOUT_MS, clock, ask };
    const asking = askQuorum(options).then(
      (answers) => {
        assert.equal(answers.length, needed);
        return 'ok';
      },
      (error: unknown) => toCallError(error).kind,
    );
    await clock.advance(10 * TIMEOUT_MS);
    assert.equal(await asking, outcome);
    assert.equal(count, asked);
  });
});
