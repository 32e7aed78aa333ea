/** Keepers whose writes to their disks fail for a while. */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { create, type MessageInitShape } from '@bufbuild/protobuf';
import { loadHash } from '@marjorampin/membership';
import {
  ProgramCopySchema,
  RequestSchema,
  RosterSchema,
  type TurnRecord,
  TurnRecordSchema,
} from '@marjorampin/protocol';
import { StoreError } from '@marjorampin/store';
import { Err, ManualClock } from '@marjorampin/types';
import { KeeperHandler } from '../keeperHandler';
import { ProgramTable } from '../programTable';
import { KeeperCluster } from './keeperCluster';

const RETENTION_MS = 60_000;
const VERSION = 1;
const FULL_MS = 500;
const hash = await loadHash();

const recordOf = (turn: string, ancestors: string[] = []): TurnRecord =>
  create(TurnRecordSchema, { turn, program: 'p', ancestors, retentionMs: RETENTION_MS });

/** A keeper whose disk refuses writes while it is full. */
class FullKeeper {
  isFull = true;

  /** Ids of the turns on the disk. */
  readonly written: string[] = [];

  readonly handler: KeeperHandler;

  constructor() {
    const unavailable = new StoreError({ kind: 'unavailable', message: 'there is no store' });
    this.handler = new KeeperHandler({
      table: new ProgramTable(),
      durableLog: {
        append: async ({ body }) => {
          if (this.isFull) throw new Error('the disk is full');
          if (body.case === 'record') this.written.push(body.value.turn);
        },
      },
      clock: new ManualClock(),
      hash,
      lossLimit: 1,
      listValues: async () => Err(unavailable),
    });
    this.handler.adopt(create(RosterSchema, { version: VERSION }));
    this.handler.markRestored(VERSION);
  }

  request(body: MessageInitShape<typeof RequestSchema>['body']) {
    return this.handler.handle(create(RequestSchema, { body }));
  }

  commit(record: TurnRecord) {
    return this.request({ case: 'commitTurn', value: { record, rosterVersion: VERSION } });
  }

  async holdsPrevious(): Promise<boolean | undefined> {
    const value = {
      program: 'p',
      reservation: { turn: 't2' },
      retentionMs: RETENTION_MS,
      previous: 't1',
      rosterVersion: VERSION,
    };
    const { body } = await this.request({ case: 'reserveTokens', value });
    return body?.case === 'reservations' ? body.value.holdsPrevious : undefined;
  }

  importProgram(): Promise<string[]> {
    const copy = { program: 'p', turns: ['t1'], remainingMs: RETENTION_MS };
    return this.handler.importProgram(create(ProgramCopySchema, copy));
  }
}

interface Case {
  name: string;
  fail(keeper: FullKeeper): Promise<unknown>;
  repeat(keeper: FullKeeper): Promise<unknown>;
  holdsPrevious: boolean;
}

const failCommit = (keeper: FullKeeper) => keeper.commit(recordOf('t1'));

const CASES: Case[] = [
  {
    name: 'a turn is not held when another one continues it',
    fail: failCommit,
    repeat: async () => undefined,
    holdsPrevious: false,
  },
  {
    name: 'a turn is held once its commit is repeated',
    fail: failCommit,
    repeat: failCommit,
    holdsPrevious: true,
  },
  {
    name: 'a turn is written with the commit of the one that continues it',
    fail: failCommit,
    repeat: (keeper) => keeper.commit(recordOf('t2', ['t1'])),
    holdsPrevious: true,
  },
  {
    name: 'a turn is written when its restoration is repeated',
    fail: async (keeper) => {
      await keeper.importProgram();
      await keeper.handler.importTurns([recordOf('t1')]);
    },
    repeat: (keeper) => keeper.importProgram(),
    holdsPrevious: true,
  },
];

describe('LOST: a turn that is not on the disk does not count as stored', () => {
  CASES.forEach(({ name, fail, repeat, holdsPrevious }) => {
    test(name, async () => {
      const keeper = new FullKeeper();
      await assert.rejects(fail(keeper), /the disk is full/);
      keeper.isFull = false;
      await repeat(keeper);
      assert.equal(keeper.written.includes('t1'), holdsPrevious);
      assert.equal(await keeper.holdsPrevious(), holdsPrevious);
    });
  });
});

test(
  'LOST: a keeper that cannot write its state after a restoration ends, or never restores',
  { timeout: 30_000 },
  async () => {
    const cluster = new KeeperCluster();
    try {
      for (const id of ['a', 'b']) await cluster.start(id);
      await cluster.untilRestored(['a', 'b']);
      const { options } = cluster.keepers.get('a')?.process as unknown as {
        options: { folder: string };
      };
      const { folder } = options;
      options.folder = `${folder}/missing`;
      await cluster.start('c');
      await new Promise((resolve) => {
        setTimeout(resolve, FULL_MS);
      });
      options.folder = folder;
      await cluster.untilRestored(['a', 'b', 'c']);
    } finally {
      await cluster.close();
    }
  },
);
