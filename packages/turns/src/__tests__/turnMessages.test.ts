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

const ROSTER = create(RosterSchema, {
  version: 1,
  keepers: ['a', 'b', 'c', 'd', 'e'].map((id) => ({ id, address: id, domain: id })),
});
const RETENTION_MS = 60_000;
const hash = await loadHash();

interface StoredReservation {
  turn: string;
  tokens: number;
  settled: boolean;
}

/** Turns of a program with a budget of 100 tokens that reserves 30 for each, and the messages that
 * an entry sends for them. */
const CASES: {
  name: string;
  others: StoredReservation[];
  turns: number;
  /** Time between two turns. */
  pauseMs?: number;
  outcome: string;
  reserves: number;
  commits: number;
  settles: number;
}[] = [
  {
    name: 'a turn takes one reservation and one commit at each keeper of a majority',
    others: [],
    turns: 1,
    outcome: 'ok',
    reserves: 3,
    commits: 3,
    settles: 0,
  },
  {
    name: 'a turn beside a running one repeats its reservation',
    others: [{ turn: 'x', tokens: 30, settled: false }],
    turns: 1,
    outcome: 'ok',
    reserves: 6,
    commits: 3,
    settles: 0,
  },
  {
    name: 'turns after the settled tokens exhausted the budget are refused without messages',
    others: [{ turn: 'x', tokens: 80, settled: true }],
    turns: 20,
    outcome: 'budget-exhausted',
    reserves: 3,
    commits: 0,
    settles: 3,
  },
  {
    name: 'turns refused because of running turns ask again each time',
    others: [{ turn: 'x', tokens: 80, settled: false }],
    turns: 2,
    outcome: 'budget-exhausted',
    reserves: 12,
    commits: 0,
    settles: 6,
  },
  {
    name: 'an exhausted budget is asked for again after the retention of its account',
    others: [{ turn: 'x', tokens: 80, settled: true }],
    turns: 2,
    pauseMs: RETENTION_MS,
    outcome: 'budget-exhausted',
    reserves: 6,
    commits: 0,
    settles: 6,
  },
];

const replyTo = (body: RequestBody, others: StoredReservation[]): Reply =>
  create(
    ReplySchema,
    body?.case === 'reserveTokens'
      ? { body: { case: 'reservations', value: { complete: true, others } } }
      : { body: { case: 'acknowledgement', value: { accepted: true } } },
  );

CASES.forEach(({ name, others, turns, pauseMs = 0, outcome, reserves, commits, settles }) => {
  test(`messages to keepers: ${name}`, async () => {
    const clock = new ManualClock();
    const sent: string[] = [];
    const peers: PeerConnections = {
      get: () => ({
        call: async (body) => {
          sent.push(body?.case ?? '');
          return replyTo(body, others);
        },
      }),
      drop: () => undefined,
    };
    const log = new MemoryEventLog();
    const store = new TurnStore({ peers, hash, lossLimit: 2, domain: 'a', clock, log });
    store.adopt(ROSTER);
    for (let index = 0; index < turns; index += 1) {
      const turn = `t${index}`;
      const reservation = { program: 'p', turn, tokens: 30, budget: 100, previous: undefined };
      const result = await store.reserve({ ...reservation, retentionMs: RETENTION_MS }).then(
        () => 'ok',
        (error: unknown) => (error instanceof CallError ? error.kind : String(error)),
      );
      assert.equal(result, outcome);
      if (result === 'ok') await store.commit(create(TurnRecordSchema, { program: 'p', turn }));
      await setImmediate();
      await clock.advance(pauseMs);
    }
    const countOf = (kind: string) => sent.filter((each) => each === kind).length;
    assert.deepEqual(
      [countOf('reserveTokens'), countOf('commitTurn'), countOf('settleTokens')],
      [reserves, commits, settles],
    );
  });
});

/** Latency of all keepers and the expected number of keepers called for each of the last writes. */
const LATENCY_CASES = [
  { name: 'fast', latencyMs: 10, calls: 3 },
  { name: 'all slower than the shortest hedge delay', latencyMs: 60, calls: 3 },
];

LATENCY_CASES.forEach(({ name, latencyMs, calls }) => {
  test(`no more keepers than needed are called while they are ${name}`, async () => {
    const clock = new ManualClock();
    let sent = 0;
    const peers: PeerConnections = {
      get: () => ({
        call: async (body) => {
          sent += 1;
          await clock.sleep(latencyMs);
          return replyTo(body, []);
        },
      }),
      drop: () => undefined,
    };
    const log = new MemoryEventLog();
    const store = new TurnStore({ peers, hash, lossLimit: 2, domain: 'a', clock, log });
    store.adopt(ROSTER);
    const counts: number[] = [];
    for (let index = 0; index < 12; index += 1) {
      const before = sent;
      const commit = store.commit(create(TurnRecordSchema, { program: 'p', turn: `t${index}` }));
      for (let step = 0; step < 20; step += 1) {
        await setImmediate();
        await clock.advance(10);
      }
      await commit;
      counts.push(sent - before);
    }
    assert.deepEqual(counts.slice(-4), [calls, calls, calls, calls]);
  });
});
