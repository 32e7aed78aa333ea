/** What it costs that a found turn is known to be at a quorum before another one continues it. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { TurnRecordSchema } from '@marjorampin/protocol';
import { DisruptedKeepers } from './disruptedKeepers';
import { redirectFiles } from './simulatedDisk';
import { loadModulesAtOnce, redirectPeers } from './simulatedHosts';

const TURNS = 8;
const STEP_MS = 1;
const RETENTION_MS = 3_600_000;

redirectFiles();
redirectPeers();
loadModulesAtOnce();

interface Case {
  name: string;
  /** Number of entries that take the turns in rotation. */
  entries: number;
  /** Other programs of which each entry runs a turn after each turn of the chain. */
  others: number;
  /** Turns that are written again. */
  writtenBack: number;
}

const CASES: Case[] = [
  { name: 'at one entry', entries: 1, others: 0, writtenBack: 0 },
  { name: 'at one entry among others', entries: 1, others: 2, writtenBack: 0 },
  { name: 'that moves between two entries', entries: 2, others: 2, writtenBack: 0 },
  { name: 'that moves between three entries', entries: 3, others: 2, writtenBack: 0 },
  {
    name: 'that moves between two entries without other turns',
    entries: 2,
    others: 0,
    writtenBack: TURNS - 1,
  },
  {
    name: 'that moves between three entries without other turns',
    entries: 3,
    others: 0,
    writtenBack: TURNS - 1,
  },
];

/** Runs tasks in simulated time and counts the requests of entries. */
class CountedKeepers {
  readonly keepers = new DisruptedKeepers({ keepers: 3, domains: 3, lossLimit: 1 });

  readonly counts = new Map<string, number>();

  async start(): Promise<void> {
    await this.keepers.start();
    this.keepers.network.tamper = (body, reply) => {
      const kind = body?.case ?? '';
      this.counts.set(kind, (this.counts.get(kind) ?? 0) + 1);
      return reply;
    };
  }

  async runTurn(entry: number, program: string, ancestors: string[]): Promise<void> {
    const { turns } = this.keepers.entries[entry] ?? {};
    if (!turns) throw new Error(`there is no entry ${entry}`);
    const turn = `${program}-${ancestors.length}`;
    const previous = ancestors.at(-1);
    const reservation = { program, turn, tokens: 1, budget: 100, previous };
    const chain = await this.finish(turns.reserve({ ...reservation, retentionMs: RETENTION_MS }));
    assert.deepEqual(
      chain.map((record) => record.turn),
      ancestors,
    );
    const record = create(TurnRecordSchema, {
      turn,
      program,
      ancestors: [...ancestors],
      input: Buffer.from(`input of ${turn}`),
      outputTokens: 1,
      retentionMs: RETENTION_MS,
    });
    await this.finish(turns.commit(record, { chain }));
  }

  private async finish<Value>(task: Promise<Value>): Promise<Value> {
    let isSettled = false;
    const settle = () => {
      isSettled = true;
    };
    task.then(settle, settle);
    while (!isSettled) await this.keepers.advance(STEP_MS);
    return task;
  }
}

CASES.forEach(({ name, entries, others, writtenBack }) => {
  test(`a chain ${name}: ${writtenBack} of ${TURNS} turns are written back`, async () => {
    const counted = new CountedKeepers();
    const { keepers, counts } = counted;
    try {
      await counted.start();
      const ancestors: string[] = [];
      for (let index = 0; index < TURNS; index += 1) {
        const entry = index % entries;
        await counted.runTurn(entry, 'chain', ancestors);
        ancestors.push(`chain-${index}`);
        for (let other = 0; other < others; other += 1) {
          await counted.runTurn(entry, `other-${index}-${other}`, []);
        }
      }
      const quorum = 2;
      const turns = TURNS * (1 + others);
      assert.equal(counts.get('reserveTokens'), quorum * turns);
      assert.equal(counts.get('commitTurn'), quorum * (turns + writtenBack));
    } finally {
      keepers.stop();
    }
  });
});
