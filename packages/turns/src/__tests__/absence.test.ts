/** Which replies prove that a turn does not exist. */
import assert from 'node:assert/strict';
import test from 'node:test';
import { create } from '@bufbuild/protobuf';
import { MemoryEventLog } from '@marjorampin/logging';
import { type PeerConnections, ReplySchema, RosterSchema } from '@marjorampin/protocol';
import { toCallError } from '@marjorampin/types';
import { TurnReader } from '../turnReader';

interface Case {
  name: string;
  keepers: string;
  leaving?: string;
  lossLimit?: number;
  /** Keepers that reply that they do not store the turn; the others are silent. */
  absent: string;
  /** Keepers whose replies are not complete. */
  incomplete?: string;
  kind: 'unknown-turn' | 'keepers-unavailable';
}

const CASES: Case[] = [
  { name: 'two of three', keepers: 'abc', absent: 'ab', kind: 'unknown-turn' },
  { name: 'one of three', keepers: 'abc', absent: 'a', kind: 'keepers-unavailable' },
  {
    name: 'two of three, one of which restores its data',
    keepers: 'abc',
    absent: 'ab',
    incomplete: 'b',
    kind: 'keepers-unavailable',
  },
  { name: 'both of two', keepers: 'ab', absent: 'ab', kind: 'unknown-turn' },
  { name: 'one of two', keepers: 'ab', absent: 'a', kind: 'keepers-unavailable' },
  { name: 'the only one', keepers: 'a', absent: 'a', kind: 'unknown-turn' },
  {
    name: 'one of three and a retiring one',
    keepers: 'abcd',
    leaving: 'd',
    absent: 'ad',
    kind: 'keepers-unavailable',
  },
  {
    name: 'two of three and a retiring one',
    keepers: 'abcd',
    leaving: 'd',
    absent: 'abd',
    kind: 'unknown-turn',
  },
  { name: 'three of four', keepers: 'abcd', absent: 'abc', kind: 'unknown-turn' },
  {
    name: 'two of four for two losses',
    keepers: 'abcd',
    lossLimit: 2,
    absent: 'ab',
    kind: 'keepers-unavailable',
  },
];

CASES.forEach(({ name, keepers, leaving = '', lossLimit = 1, absent, incomplete = '', kind }) => {
  test(`a turn that ${name} do not store is answered ${kind}`, async () => {
    const roster = create(RosterSchema, {
      version: 1,
      keepers: [...keepers].map((id) => ({ id, address: id, leaving: leaving.includes(id) })),
    });
    const peers: PeerConnections = {
      get: (id) => ({
        call: async () => {
          if (!absent.includes(id)) throw new Error('the keeper is silent');
          const value = { records: [], complete: !incomplete.includes(id) };
          return create(ReplySchema, { body: { case: 'turnChain', value } });
        },
      }),
      drop: () => undefined,
    };
    const log = new MemoryEventLog();
    const reader = new TurnReader({ peers, lossLimit, log, adopt: () => undefined });
    const error = await reader.read(roster, 't', []).catch(toCallError);
    assert.equal('kind' in error && error.kind, kind);
    const logged = log.events.filter(({ event }) => event === 'turnUnknown');
    assert.equal(logged.length, kind === 'unknown-turn' ? 1 : 0);
  });
});
