import assert from 'node:assert/strict';
import test from 'node:test';
import { createSegment, MemoryHistoryStore } from '@marjorampin/history';
import { MemoryEventLog } from '@marjorampin/logging';
import { loadHash, MemberDirectory } from '@marjorampin/membership';
import { MemoryKeyValueStore } from '@marjorampin/store';
import { type PeerHandler, PeerPool } from '@marjorampin/protocol';
import { ManualClock, type Segment, toCallError } from '@marjorampin/types';
import { HistoryReplicator } from '../historyReplicator';
import { checkEpoch } from '../turnChecks';

const PROGRAM = 'customer.0007.0123456789abcdef01234567';

/** Creates a chain of turns; chains of different variants have different answers and digests. */
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

async function createReplicator(
  local = new MemoryHistoryStore(),
  log = new MemoryEventLog(),
): Promise<HistoryReplicator> {
  const clock = new ManualClock();
  const members = new MemberDirectory({ store: new MemoryKeyValueStore(), clock });
  const handler = undefined as unknown as PeerHandler;
  return new HistoryReplicator({
    self: 'entry-0',
    local,
    members,
    peers: new PeerPool({ handler, clock }),
    hash: await loadHash(),
    log,
  });
}

const mainChain = createChain(3, 'main');
const forkChain = createChain(3, 'fork');

/** A segment that a holder with existing turns receives; without `errorKind` it is accepted. */
interface Case {
  name: string;
  existing: Segment[];
  incoming: Segment;
  epoch: number;
  isCopy?: boolean;
  errorKind?: string;
}

const CASES: Case[] = [
  { name: 'accepts the first turn', existing: [], incoming: mainChain[0] as Segment, epoch: 1 },
  {
    name: 'accepts the next turn',
    existing: mainChain.slice(0, 2),
    incoming: mainChain[2] as Segment,
    epoch: 1,
  },
  {
    name: 'refuses a turn when it lacks the previous turns',
    existing: [],
    incoming: mainChain[2] as Segment,
    epoch: 1,
    errorKind: 'transcript-required',
  },
  {
    name: 'refuses a turn that follows a different history than the stored one',
    existing: forkChain.slice(0, 2),
    incoming: mainChain[2] as Segment,
    epoch: 1,
    errorKind: 'transcript-required',
  },
  {
    name: 'accepts a copy of a turn that it already stores',
    existing: mainChain,
    incoming: mainChain[1] as Segment,
    epoch: 1,
    isCopy: true,
  },
  {
    name: 'refuses a copy that differs from the stored turn',
    existing: mainChain,
    incoming: forkChain[0] as Segment,
    epoch: 1,
    isCopy: true,
    errorKind: 'out-of-turn',
  },
  {
    name: 'refuses a turn from a former owner',
    existing: mainChain.slice(0, 2),
    incoming: mainChain[2] as Segment,
    epoch: 0,
    errorKind: 'stale-epoch',
  },
];

CASES.forEach(({ name, existing, incoming, epoch, isCopy, errorKind }) => {
  test(`a holder ${name}`, async () => {
    const holder = await createReplicator();
    for (const segment of existing) await holder.storeLocally({ partition: 7, epoch: 1 }, segment);
    const error = await holder
      .storeLocally({ partition: 7, epoch }, incoming, isCopy)
      .catch(toCallError);
    assert.equal(error?.kind, errorKind);
  });
});

test('a former owner refuses a continuation with a newer epoch', () => {
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

class UnreadableStore extends MemoryHistoryStore {
  override async read(): Promise<Segment[]> {
    throw new Error('the disk failed');
  }

  override async programs(): Promise<string[]> {
    throw new Error('the disk failed');
  }
}

test('a history that cannot be read is logged and does not stop a shutdown', async () => {
  const log = new MemoryEventLog();
  const replicator = await createReplicator(new UnreadableStore(), log);
  await replicator.evacuate(() => ({ partition: 7, epoch: 1 }));
  assert.deepEqual(
    log.events.map(({ event }) => event),
    ['historyReadFailed'],
  );
});

test('a copy is refused when the turn that it may contradict cannot be read', async () => {
  const replicator = await createReplicator(new UnreadableStore());
  const [segment] = createChain(1, 'main');
  const copy = replicator.storeLocally({ partition: 7, epoch: 1 }, segment as Segment, true);
  await assert.rejects(copy, /the disk failed/);
});
