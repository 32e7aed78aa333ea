import assert from 'node:assert/strict';
import test from 'node:test';
import { create } from '@bufbuild/protobuf';
import {
  type PeerConnections,
  type Reply,
  ReplySchema,
  type RequestBody,
  RosterSchema,
} from '@marjorampin/protocol';
import { restoreFromPeers } from '../restoration';

/** The disk of `self` was replaced, so that all other copies are needed. */
const ROSTER = create(RosterSchema, {
  version: 1,
  keepers: ['self', 'source'].map((id) => ({ id, address: id, disk: `new ${id}` })),
  holders: ['self', 'source'].map((id) => ({ id, disk: id === 'self' ? 'lost' : `new ${id}` })),
  minimumCopies: 2,
});

/** Replies of a source that lists the turns `t1` and `t2` of one program. */
const CASES: {
  name: string;
  /** Turns that the source returns, and whether it states that it stores all that it did. */
  returned: string[];
  isComplete: boolean;
  isRestored: boolean;
}[] = [
  { name: 'returns all turns', returned: ['t1', 't2'], isComplete: true, isRestored: true },
  { name: 'lacks a turn that expired', returned: ['t1'], isComplete: true, isRestored: true },
  { name: 'lost its disk after its list', returned: [], isComplete: false, isRestored: false },
  {
    name: 'lost its disk and has got a part back',
    returned: ['t1'],
    isComplete: false,
    isRestored: false,
  },
];

function replyOf(body: RequestBody, returned: string[], complete: boolean): Reply {
  if (body?.case === 'copyTurns') {
    const records = returned.map((turn) => ({ turn, program: 'p' }));
    return create(ReplySchema, { body: { case: 'turnChain', value: { records, complete } } });
  }
  const programs = [{ program: 'p', turns: ['t1', 't2'] }];
  const value = { programs, hasMore: false, intact: true, restoredVersion: 1 };
  return create(ReplySchema, { body: { case: 'programPage', value } });
}

CASES.forEach(({ name, returned, isComplete, isRestored }) => {
  test(`a restoration from a source that ${name} counts as ${isRestored ? '' : 'in'}complete`, async () => {
    const connection = { call: async (body: RequestBody) => replyOf(body, returned, isComplete) };
    const peers: PeerConnections = { get: () => connection, drop: () => undefined };
    const imported: string[] = [];
    const result = await restoreFromPeers({
      roster: ROSTER,
      self: { id: 'self', disk: 'new self', intact: false, restoredVersion: -1 },
      lossLimit: 1,
      nowMs: 1,
      peers,
      importProgram: async ({ turns }) => turns,
      importTurns: async (records) => {
        imported.push(...records.map(({ turn }) => turn));
      },
    });
    assert.equal(result, isRestored);
    assert.deepEqual(imported, returned);
  });
});
