import assert from 'node:assert/strict';
import test from 'node:test';
import { create } from '@bufbuild/protobuf';
import { type PeerConnections, ReplySchema, RosterSchema } from '@marjorampin/protocol';
import { restoreFromPeers } from '../restoration';

interface Case {
  name: string;
  /** Ids of the holders and of the keepers of the new roster; `self` is `a`. */
  holders: string;
  keepers: string;
  lossLimit: number;
  minimumCopies: number;
  /** Whether the disk of `a` was lost, and whether `a` is a new keeper. */
  hasLostDisk?: boolean;
  /** Other keepers that lost their disk. */
  lost?: string;
  /** Other keepers that have acknowledged nothing since all data was at its keepers. */
  empty?: string;
  /** Number of other keepers from which a restoration completes, whichever they are. */
  needed: number;
}

const CASES: Case[] = [
  {
    name: 'one keeper joined',
    holders: 'abc',
    keepers: 'abcd',
    lossLimit: 1,
    minimumCopies: 2,
    empty: 'd',
    needed: 2,
  },
  {
    name: 'this keeper joined',
    holders: 'bcd',
    keepers: 'abcd',
    lossLimit: 1,
    minimumCopies: 2,
    needed: 2,
  },
  {
    name: 'this keeper joined a roster of one',
    holders: 'b',
    keepers: 'ab',
    lossLimit: 1,
    minimumCopies: 1,
    needed: 1,
  },
  {
    name: 'one of four keepers was lost',
    holders: 'abcd',
    keepers: 'abc',
    lossLimit: 1,
    minimumCopies: 2,
    needed: 2,
  },
  {
    name: 'one of three keepers was lost',
    holders: 'abc',
    keepers: 'ab',
    lossLimit: 1,
    minimumCopies: 2,
    needed: 1,
  },
  {
    name: 'this keeper lost its disk',
    holders: 'abcd',
    keepers: 'abcd',
    lossLimit: 1,
    minimumCopies: 2,
    hasLostDisk: true,
    needed: 3,
  },
  {
    name: 'this keeper lost its disk and another one was removed',
    holders: 'abc',
    keepers: 'ab',
    lossLimit: 1,
    minimumCopies: 2,
    hasLostDisk: true,
    needed: Infinity,
  },
  {
    name: 'another keeper lost its disk',
    holders: 'abc',
    keepers: 'abc',
    lossLimit: 1,
    minimumCopies: 2,
    lost: 'b',
    needed: 2,
  },
  {
    name: 'two of seven keepers were lost',
    holders: 'abcdefg',
    keepers: 'abcde',
    lossLimit: 2,
    minimumCopies: 3,
    needed: 4,
  },
  {
    name: 'one of seven keepers was lost',
    holders: 'abcdefg',
    keepers: 'abcdef',
    lossLimit: 2,
    minimumCopies: 3,
    needed: 4,
  },
];

/** Returns all subsets of some ids. */
const subsets = (ids: string[]): string[][] =>
  ids.reduce<string[][]>((all, id) => [...all, ...all.map((each) => [...each, id])], [[]]);

CASES.forEach((options) => {
  const { name, holders, lossLimit, minimumCopies, hasLostDisk, needed } = options;
  const { lost = '', empty = '' } = options;
  test(`a restoration needs ${needed} sources when ${name}`, async () => {
    const roster = create(RosterSchema, {
      version: 2,
      keepers: [...options.keepers].map((id) => ({ id, address: id, disk: id })),
      holders: [...holders].map((id) => ({ id, disk: id })),
      minimumCopies,
      wholeVersion: 1,
    });
    const others = [...options.keepers].filter((id) => id !== 'a');
    const restoreFrom = (sources: string[]) => {
      const peers: PeerConnections = {
        get: (id) => ({
          call: async () => {
            if (!sources.includes(id)) throw new Error('the keeper is down');
            const isEmpty = lost.includes(id) || empty.includes(id);
            const disk = lost.includes(id) ? `new ${id}` : id;
            const restoredVersion = isEmpty ? -1 : 1;
            const value = { programs: [], intact: !isEmpty, restoredVersion, disk };
            return create(ReplySchema, { body: { case: 'programPage', value } });
          },
        }),
        drop: () => undefined,
      };
      const self = hasLostDisk
        ? { id: 'a', disk: 'new a', intact: false, restoredVersion: -1 }
        : { id: 'a', disk: 'a', intact: true, restoredVersion: 1 };
      return restoreFromPeers({
        roster,
        self,
        lossLimit,
        nowMs: 1,
        peers,
        importProgram: async () => [],
        importTurns: async () => undefined,
      });
    };
    const results = await Promise.all(
      subsets(others).map(async (sources) => ({
        sources,
        isRestored: await restoreFrom(sources),
      })),
    );
    results
      .filter(({ sources }) => sources.length >= needed)
      .forEach(({ sources, isRestored }) => assert.ok(isRestored, sources.join()));
    const isSure = (size: number) =>
      results.every(({ sources, isRestored }) => sources.length !== size || isRestored);
    assert.ok(needed === Infinity || needed === 0 || !isSure(needed - 1));
    // No set suffices that leaves out as many intact holders as store an acknowledged write.
    results
      .filter(({ isRestored }) => isRestored)
      .forEach(({ sources }) => {
        const read = hasLostDisk ? sources : ['a', ...sources];
        const isRead = (id: string) => read.includes(id) && !lost.includes(id);
        const unread = [...holders].filter((id) => !isRead(id));
        assert.ok(unread.length < minimumCopies, sources.join());
      });
  });
});
