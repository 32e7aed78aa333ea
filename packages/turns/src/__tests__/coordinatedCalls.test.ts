import assert from 'node:assert/strict';
import test from 'node:test';
import { setImmediate } from 'node:timers/promises';
import { create } from '@bufbuild/protobuf';
import { MemoryEventLog } from '@marjorampin/logging';
import { loadHash } from '@marjorampin/membership';
import {
  type PeerConnections,
  type Reply,
  ReplySchema,
  type RequestBody,
  RosterSchema,
  TurnRecordSchema,
} from '@marjorampin/protocol';
import { CallError, ManualClock } from '@marjorampin/types';
import { TurnStore } from '../turnStore';

const KEEPERS = ['a', 'b', 'c', 'd', 'e'];
const ROSTER = create(RosterSchema, {
  version: 1,
  keepers: KEEPERS.map((id) => ({ id, address: id, domain: id })),
});
const hash = await loadHash();

/** What the coordinator, the keeper of the entry's failure domain, does with a coordinated call. */
type CoordinatorState = 'replies' | 'fails' | 'is silent' | 'has no majority';

/** Messages of an entry for one turn: its reservation and its commit. */
const CASES: {
  name: string;
  usesCoordinator: boolean;
  state?: CoordinatorState;
  groupCalls: number;
  directCalls: number;
}[] = [
  {
    name: 'calls a majority for each write without a coordinator',
    usesCoordinator: false,
    groupCalls: 0,
    directCalls: 6,
  },
  {
    name: 'sends one message for each write to a coordinator',
    usesCoordinator: true,
    groupCalls: 2,
    directCalls: 0,
  },
  {
    name: 'calls a majority itself when coordinators fail',
    usesCoordinator: true,
    state: 'fails',
    groupCalls: 2,
    directCalls: 6,
  },
  {
    name: 'calls a majority itself when a coordinator is silent, and uses another one then',
    usesCoordinator: true,
    state: 'is silent',
    groupCalls: 2,
    directCalls: 3,
  },
  {
    name: 'calls a majority itself when a coordinator reaches none',
    usesCoordinator: true,
    state: 'has no majority',
    groupCalls: 2,
    directCalls: 6,
  },
];

/** Reply of a keeper that is silent. */
const NEVER = new Promise<Reply>(() => {});

const replyTo = (body: RequestBody): Reply => {
  const isReservation =
    body?.case === 'reserveTokens' ||
    (body?.case === 'groupCall' && body.value.body?.case === 'reserveTokens');
  return create(
    ReplySchema,
    isReservation
      ? { body: { case: 'reservations', value: { complete: true } } }
      : { body: { case: 'acknowledgement', value: { accepted: true } } },
  );
};

CASES.forEach(({ name, usesCoordinator, state = 'replies', groupCalls, directCalls }) => {
  test(`an entry ${name}`, async () => {
    const clock = new ManualClock();
    const calls: string[] = [];
    const coordinators = new Set<string>();
    const coordinate = async (address: string, body: RequestBody): Promise<Reply> => {
      coordinators.add(address);
      if (state === 'fails') throw new CallError({ kind: 'platform-unavailable', message: 'x' });
      if (state === 'is silent' && coordinators.size === 1) return NEVER;
      if (state === 'has no majority') {
        throw new CallError({ kind: 'keepers-unavailable', message: 'no majority' });
      }
      return replyTo(body);
    };
    const peers: PeerConnections = {
      get: (address) => ({
        call: async (body) => {
          calls.push(body?.case ?? '');
          return body?.case === 'groupCall' ? coordinate(address, body) : replyTo(body);
        },
      }),
      drop: () => undefined,
    };
    const log = new MemoryEventLog();
    const options = { peers, hash, lossLimit: 2, domain: 'a', clock, log, usesCoordinator };
    const store = new TurnStore(options);
    store.adopt(ROSTER);
    const reservation = { program: 'p', turn: 't', tokens: 10, budget: 100, previous: undefined };
    const writes = (async () => {
      await store.reserve({ ...reservation, retentionMs: 60_000 });
      await store.commit(create(TurnRecordSchema, { program: 'p', turn: 't' }));
    })();
    for (let step = 0; step < 40; step += 1) {
      // Replies arrive before the clock advances.
      await setImmediate();
      await clock.advance(10);
    }
    await writes;
    assert.equal(calls.filter((kind) => kind === 'groupCall').length, groupCalls);
    assert.equal(calls.filter((kind) => kind !== 'groupCall').length, directCalls);
  });
});
