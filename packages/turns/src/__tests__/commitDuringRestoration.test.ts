/** Turns that end while keepers copy what a change of the roster has assigned to them. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { create, type MessageInitShape } from '@bufbuild/protobuf';
import { loadHash } from '@marjorampin/membership';
import { RequestSchema, RosterSchema, TurnRecordSchema } from '@marjorampin/protocol';
import { StoreError } from '@marjorampin/store';
import { Err, ManualClock } from '@marjorampin/types';
import { KeeperHandler } from '../keeperHandler';
import { ProgramTable } from '../programTable';

const RETENTION_MS = 60_000;
const hash = await loadHash();

interface Case {
  name: string;
  /** Version under which all data was restored last; undefined for an empty disk. */
  restored: number | undefined;
  roster: number;
  /** Roster version of the entry. */
  requested: number;
  isAccepted: boolean;
  /** Whether reservations and proofs of absence count. */
  isComplete: boolean;
}

const CASES: Case[] = [
  { name: 'restored', restored: 2, roster: 2, requested: 2, isAccepted: true, isComplete: true },
  {
    name: 'intact that restores after a keeper was added',
    restored: 1,
    roster: 2,
    requested: 2,
    isAccepted: true,
    isComplete: false,
  },
  {
    name: 'with an empty disk',
    restored: undefined,
    roster: 2,
    requested: 2,
    isAccepted: false,
    isComplete: false,
  },
  {
    name: 'that has not read the newest roster',
    restored: 1,
    roster: 1,
    requested: 2,
    isAccepted: false,
    isComplete: false,
  },
];

CASES.forEach(({ name, restored, roster, requested, isAccepted, isComplete }) => {
  test(`LOST: a keeper ${name} ${isAccepted ? 'takes' : 'refuses'} the end of a turn`, async () => {
    const unavailable = new StoreError({ kind: 'unavailable', message: 'there is no store' });
    const handler = new KeeperHandler({
      table: new ProgramTable(),
      durableLog: { append: async () => undefined },
      clock: new ManualClock(),
      hash,
      lossLimit: 1,
      listValues: async () => Err(unavailable),
    });
    handler.adopt(create(RosterSchema, { version: roster }));
    if (restored !== undefined) handler.markRestored(restored);
    const request = (body: MessageInitShape<typeof RequestSchema>['body']) =>
      handler.handle(create(RequestSchema, { body }));
    const record = create(TurnRecordSchema, { turn: 't', program: 'p', retentionMs: RETENTION_MS });
    const committed = await request({
      case: 'commitTurn',
      value: { record, rosterVersion: requested },
    });
    const { body: acknowledgement } = committed;
    assert.ok(acknowledgement?.case === 'acknowledgement');
    assert.equal(acknowledgement.value.accepted, isAccepted);
    const read = await request({
      case: 'readTurns',
      value: { turn: 'other', rosterVersion: requested },
    });
    assert.ok(read.body?.case === 'turnChain');
    assert.equal(read.body.value.complete, isComplete);
  });
});
