import assert from 'node:assert/strict';
import test from 'node:test';
import { create } from '@bufbuild/protobuf';
import { createLedgerRecord } from '@marjorampin/ledger';
import type { PartitionTable } from '@marjorampin/membership';
import { type PeerPool, ReplySchema } from '@marjorampin/protocol';
import { MemoryKeyValueStore } from '@marjorampin/store';
import { ManualClock } from '@marjorampin/types';
import { LedgerClient } from '../ledgerClient';

const RECORD = createLedgerRecord({
  key: 'call/c/s/k',
  kind: 'intent',
  program: 'p',
  epoch: 1,
  attempt: 1,
  endpoint: 'e',
  incarnation: 'i',
  requestDigest: 'd',
});

/** Replies that say nothing about records. */
const UNEXPECTED = [
  { name: 'of another kind', body: { case: 'acknowledgement', value: { accepted: true } } },
  { name: 'without a body', body: { case: undefined } },
] as const;

UNEXPECTED.forEach(({ name, body }) => {
  test(`a reply ${name} does not count as an appended or a missing record`, async () => {
    const reply = create(ReplySchema, { body });
    const client = new LedgerClient({
      self: 'entry-0',
      store: new MemoryKeyValueStore(),
      table: { assignmentOf: () => ({ owner: 'entry-1', epoch: 1 }) } as unknown as PartitionTable,
      peers: { get: () => ({ call: async () => reply }) } as unknown as PeerPool,
      clock: new ManualClock(),
      addressOf: () => '127.0.0.1:1',
    });
    const appended = await client.append(RECORD);
    assert.equal(appended.err && appended.val.execution, 'unknown');
    const read = await client.read(RECORD.key);
    assert.equal(read.err && read.val.execution, 'unknown');
  });
});
