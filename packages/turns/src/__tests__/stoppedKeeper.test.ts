/** Keepers that are stopped while they write. */
import assert from 'node:assert/strict';
import { mkdtemp, readdir, rm, stat } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { MemoryEventLog } from '@marjorampin/logging';
import { KeptEventSchema, type Roster } from '@marjorampin/protocol';
import { DurableLog } from '../durableLog';
import { parseRoster, ROSTER_KEY } from '../rosterRecord';
import { HOST, KeeperCluster } from './keeperCluster';

const RETENTION_MS = 60_000;
/** Longer than a write that is under way takes. */
const LATER_MS = 150;

const sleep = (ms: number) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Returns the names, sizes and times of change of all files in a folder. */
async function describeFiles(folder: string): Promise<string[]> {
  const names = (await readdir(folder)).sort();
  return Promise.all(
    names.map(async (name) => {
      const { size, mtimeMs, ino } = await stat(join(folder, name));
      return `${name} ${size} ${mtimeMs} ${ino}`;
    }),
  );
}

/** Returns the stored roster, as the next change of it would be sent. */
async function nextRoster(cluster: KeeperCluster): Promise<Roster> {
  const stored = await cluster.store.get(ROSTER_KEY);
  assert.ok(stored.ok && stored.val);
  const roster = parseRoster(stored.val.value, stored.val.version + 1);
  assert.ok(roster);
  return roster;
}

describe('a keeper that has stopped still writes a roster that a copy was made under', () => {
  [0, 1, 2, 3, 4, 5, 6, 8, 10, 12].forEach((delayMs) => {
    test(`stopped ${delayMs} ms after the request for a copy`, async () => {
      const cluster = new KeeperCluster();
      try {
        const { folder, port } = await cluster.start('a');
        await cluster.start('b');
        await cluster.untilRestored(['a', 'b']);
        const roster = await nextRoster(cluster);
        const peer = cluster.createPool().get(`${HOST}:${port}`);
        await peer.call({ case: 'probe', value: { sender: 'b' } }, { progressTimeoutMs: 1_000 });
        const request = {
          case: 'copyPrograms' as const,
          value: { roster, receiver: 'b', after: '' },
        };
        peer.call(request, { progressTimeoutMs: 1_000 }).catch(() => undefined);
        await sleep(delayMs);
        await cluster.stop('a');
        const files = await describeFiles(folder);
        await sleep(LATER_MS);
        assert.deepEqual(await describeFiles(folder), files);
      } finally {
        await cluster.close();
      }
    });
  });
});

test('a log that is being closed loses events or accepts further ones', async () => {
  const folder = await mkdtemp(join(tmpdir(), 'log-'));
  const event = (program: string) =>
    create(KeptEventSchema, { program, writtenAtMs: Date.now(), retentionMs: RETENTION_MS });
  const log = new MemoryEventLog();
  try {
    const durableLog = new DurableLog({ folder, log });
    const appended = Promise.all(
      ['a', 'b', 'c'].map((program) => durableLog.append(event(program))),
    );
    await durableLog.close();
    await assert.rejects(durableLog.append(event('late')), /the log is closed/);
    await appended;
    const events = await new DurableLog({ folder, log }).replay();
    assert.deepEqual(
      events.map(({ program }) => program),
      ['a', 'b', 'c'],
    );
  } finally {
    await rm(folder, { recursive: true });
  }
});
