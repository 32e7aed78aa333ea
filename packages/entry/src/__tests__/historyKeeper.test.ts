import assert from 'node:assert/strict';
import test from 'node:test';
import { createSegment, MemoryHistoryStore } from '@marjorampin/history';
import { MemoryEventLog } from '@marjorampin/logging';
import { loadHash, MemberDirectory } from '@marjorampin/membership';
import { MemoryKeyValueStore } from '@marjorampin/store';
import { type PeerHandler, PeerPool } from '@marjorampin/protocol';
import { ManualClock, type Segment, toCallError } from '@marjorampin/types';
import { HistoryKeeper } from '../historyKeeper';
import { checkEpoch } from '../turnChecks';

const PROGRAM = 'customer.0007.0123456789abcdef01234567';

/** Makes a chain of turns; a different `variant` makes a fork. */
function createChain(length: number, variant: string): Segment[] {
  const chain: Segment[] = [];
  for (let turn = 1; turn <= length; turn += 1) {
    chain.push(
      createSegment({
        program: PROGRAM,
        turn,
        kind: 'model',
        request: `request ${turn}`,
        requestDigest: `${turn}`,
        answer: `${variant} ${turn}`,
        previousDigest: chain.at(-1)?.digest ?? '',
        spent: turn,
      }),
    );
  }
  return chain;
}

async function createKeeper(): Promise<HistoryKeeper> {
  const clock = new ManualClock();
  const members = new MemberDirectory({ store: new MemoryKeyValueStore(), clock });
  const handler = undefined as unknown as PeerHandler;
  return new HistoryKeeper({
    self: 'entry-0',
    local: new MemoryHistoryStore(),
    members,
    peers: new PeerPool({ handler, clock }),
    hash: await loadHash(),
    log: new MemoryEventLog(),
  });
}

const own = createChain(3, 'own');
const fork = createChain(3, 'fork');

interface Case {
  name: string;
  held: Segment[];
  next: Segment;
  epoch: number;
  isCopy?: boolean;
  kind?: string;
}

const CASES: Case[] = [
  { name: 'the first turn', held: [], next: own[0] as Segment, epoch: 1 },
  { name: 'the next turn', held: own.slice(0, 2), next: own[2] as Segment, epoch: 1 },
  {
    name: 'a turn after ones that are missing',
    held: [],
    next: own[2] as Segment,
    epoch: 1,
    kind: 'transcript-required',
  },
  {
    name: 'a turn that follows another history',
    held: fork.slice(0, 2),
    next: own[2] as Segment,
    epoch: 1,
    kind: 'transcript-required',
  },
  {
    name: 'a copy of a turn that it holds',
    held: own,
    next: own[1] as Segment,
    epoch: 1,
    isCopy: true,
  },
  {
    name: 'a copy of another turn than it holds',
    held: own,
    next: fork[0] as Segment,
    epoch: 1,
    isCopy: true,
    kind: 'out-of-turn',
  },
  {
    name: 'a turn of a former owner',
    held: own.slice(0, 2),
    next: own[2] as Segment,
    epoch: 0,
    kind: 'stale-epoch',
  },
];

CASES.forEach(({ name, held, next, epoch, isCopy, kind }) => {
  test(`a holder is given ${name}`, async () => {
    const keeper = await createKeeper();
    for (const segment of held) await keeper.storeLocally({ partition: 7, epoch: 1 }, segment);
    const stored = await keeper
      .storeLocally({ partition: 7, epoch }, next, isCopy)
      .catch(toCallError);
    assert.equal(stored?.kind, kind);
  });
});

test('a continuation of a newer owner is not judged by a former one', () => {
  const continuation = {
    program: PROGRAM,
    customer: 'customer',
    parent: '',
    turn: 1,
    digest: '',
    granted: 1,
    spent: 0,
    epoch: 5,
    holders: [],
    endpoints: [],
    expiresMs: 0,
  };
  checkEpoch(continuation, 5);
  assert.throws(
    () => checkEpoch(continuation, 4),
    (error) => toCallError(error).kind === 'not-owner',
  );
});
