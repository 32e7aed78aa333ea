import assert from 'node:assert/strict';
import test from 'node:test';
import { create } from '@bufbuild/protobuf';
import { type Keeper, KeeperSchema, type Roster, RosterSchema } from '@marjorampin/protocol';
import {
  type Copies,
  copiesOf,
  countUnavailable,
  nextCopies,
  relevantHolders,
  type StoredData,
  unreadLimit,
} from '../copyHolders';
import { MISSING_COPY_EXPIRY_MS } from '../retention';
import { parseRoster } from '../rosterRecord';

const VERSION = 7;
const NOW_MS = 1_000;

/** Returns keepers from text like `a b2 c-`: `b` has its second disk, and `c` is being retired. */
const keepersOf = (text: string): Keeper[] =>
  text
    .split(' ')
    .filter(Boolean)
    .map((word) => {
      const id = word.charAt(0);
      const disk = `${id}${/\d/.exec(word)?.[0] ?? 1}`;
      return create(KeeperSchema, { id, disk, leaving: word.endsWith('-') });
    });

/** Returns replies from text like `a b! c2`: `b` has restored nothing, and `c` has its second disk. */
const repliesOf = (text: string): Map<string, StoredData> =>
  new Map(
    keepersOf(text).map(({ id, disk }) => {
      const isNew = text.includes(`${id}!`) || disk !== `${id}1`;
      return [id, { disk, intact: !isNew, restoredVersion: isNew ? -1 : VERSION }];
    }),
  );

const describeHolders = (copies: Copies): string =>
  copies.holders
    .map(({ disk, missingSinceMs }) => `${disk}${missingSinceMs > 0 ? ' missing' : ''}`)
    .join(', ');

interface Case {
  name: string;
  lossLimit?: number;
  /** Earlier copies, if they differ from the listed disks. */
  earlier?: Partial<Copies>;
  before: string;
  after: string;
  replies: string;
  holders: string;
  minimumCopies: number;
  isWhole: boolean;
  unavailable: number;
}

const CASES: Case[] = [
  {
    name: 'a keeper joins one',
    before: 'a',
    after: 'a b',
    replies: 'a b!',
    holders: 'a1',
    minimumCopies: 1,
    isWhole: true,
    unavailable: 0,
  },
  {
    name: 'a keeper joins the first one, which has acknowledged nothing',
    earlier: { holders: [] },
    before: 'a',
    after: 'a b',
    replies: 'a b!',
    holders: '',
    minimumCopies: 2,
    isWhole: false,
    unavailable: 0,
  },
  {
    name: 'a keeper joins the first one, which has acknowledged writes alone under an earlier version',
    earlier: { holders: [], minimumCopies: 1 },
    before: 'a',
    after: 'a b',
    replies: 'a b!',
    holders: 'a1',
    minimumCopies: 1,
    isWhole: true,
    unavailable: 0,
  },
  {
    name: 'a keeper joins two that have acknowledged writes before one more loss was tolerated',
    lossLimit: 2,
    earlier: { holders: [], minimumCopies: 2 },
    before: 'a b',
    after: 'a b c',
    replies: 'a b c!',
    holders: 'a1, b1',
    minimumCopies: 2,
    isWhole: true,
    unavailable: 0,
  },
  {
    name: 'the first keeper loses its disk before another one has joined',
    earlier: { holders: [] },
    before: 'a',
    after: 'a2',
    replies: 'a2',
    holders: '',
    minimumCopies: 2,
    isWhole: false,
    unavailable: 0,
  },
  {
    name: 'the first keeper loses its disk after another one has joined',
    earlier: { holders: [] },
    before: 'a b',
    after: 'a2 b',
    replies: 'a2 b!',
    holders: 'a1 missing, b1',
    minimumCopies: 2,
    isWhole: false,
    unavailable: 1,
  },
  {
    name: 'a keeper joins the first two of a deployment that tolerates two losses',
    lossLimit: 2,
    earlier: { holders: [], minimumCopies: 3 },
    before: 'a b',
    after: 'a b c',
    replies: 'a b c!',
    holders: '',
    minimumCopies: 3,
    isWhole: false,
    unavailable: 0,
  },
  {
    name: 'two of three disks are lost in a deployment that tolerates two losses',
    lossLimit: 2,
    earlier: { minimumCopies: 3 },
    before: 'a b c',
    after: 'a2 b2 c',
    replies: 'a2 b2 c',
    holders: 'a1 missing, b1 missing, c1',
    minimumCopies: 3,
    isWhole: true,
    unavailable: 2,
  },
  {
    name: 'all but one keeper have retired',
    before: 'a b-',
    after: 'a',
    replies: 'a b',
    holders: 'a1',
    minimumCopies: 1,
    isWhole: true,
    unavailable: 0,
  },
  {
    name: 'a silent keeper is removed',
    before: 'a b c',
    after: 'a b',
    replies: 'a b',
    holders: 'a1, b1, c1 missing',
    minimumCopies: 2,
    isWhole: true,
    unavailable: 1,
  },
  {
    name: 'a lost disk is replaced while another keeper is silent',
    before: 'a b c',
    after: 'a2 b c',
    replies: 'a2 c',
    holders: 'a1 missing, b1, c1',
    minimumCopies: 2,
    isWhole: true,
    unavailable: 2,
  },
  {
    name: 'a silent keeper is removed before a lost disk is restored',
    earlier: { holders: [{ id: 'a', disk: 'a1', missingSinceMs: 1 }] as Copies['holders'] },
    before: 'a2 b c',
    after: 'a2 c',
    replies: 'a2 c!',
    holders: 'a1 missing, b1 missing, c1',
    minimumCopies: 2,
    isWhole: false,
    unavailable: 2,
  },
  {
    name: 'the disk of the same keeper is lost again',
    earlier: { holders: [{ id: 'a', disk: 'a1', missingSinceMs: 1 }] as Copies['holders'] },
    before: 'a2 b c',
    after: 'a3 b c',
    replies: 'a3 b! c!',
    holders: 'a1 missing, b1, c1',
    minimumCopies: 2,
    isWhole: false,
    unavailable: 1,
  },
  {
    name: 'a removed keeper is back with its disk',
    earlier: { holders: [{ id: 'c', disk: 'c1', missingSinceMs: 1 }] as Copies['holders'] },
    before: 'a b',
    after: 'a b c',
    replies: 'a! b! c',
    holders: 'c1, a1, b1',
    minimumCopies: 2,
    isWhole: false,
    unavailable: 0,
  },
  {
    name: 'the roster of one keeper needs that copy later, too',
    earlier: { minimumCopies: 1 },
    before: 'a b',
    after: 'a b c',
    replies: 'a b! c!',
    holders: 'a1, b1',
    minimumCopies: 1,
    isWhole: false,
    unavailable: 0,
  },
  {
    name: 'a retired keeper leaves',
    before: 'a b c d-',
    after: 'a b c',
    replies: 'a b c d',
    holders: 'a1, b1, c1',
    minimumCopies: 2,
    isWhole: true,
    unavailable: 0,
  },
  {
    name: 'two of four keepers have confirmed nothing',
    before: 'a b c d',
    after: 'a b c',
    replies: 'a b!',
    holders: 'a1, b1, c1, d1 missing',
    minimumCopies: 2,
    isWhole: false,
    unavailable: 2,
  },
  {
    name: 'two of six disks are lost',
    lossLimit: 2,
    before: 'a b c d e f',
    after: 'a2 b2 c d e f',
    replies: 'a2 b2 c d e',
    holders: 'a1 missing, b1 missing, c1, d1, e1, f1',
    minimumCopies: 3,
    isWhole: true,
    unavailable: 3,
  },
];

CASES.forEach(({ name, lossLimit = 1, earlier, before, after, replies, ...expected }) => {
  test(`nextCopies when ${name}`, () => {
    const keepers = keepersOf(before);
    const base = { holders: [], minimumCopies: 2, wholeVersion: 0, ...earlier };
    const own = keepers.filter(({ id }) => base.holders.every((holder) => holder.id !== id));
    const listed = own.map(({ id, disk }) => ({ id, disk, missingSinceMs: 0 }));
    const holders = [...base.holders, ...(earlier?.holders ? [] : listed)];
    const roster = create(RosterSchema, { ...base, holders, keepers, version: VERSION });
    const stored = repliesOf(replies);
    const copies = nextCopies({
      roster,
      keepers: keepersOf(after),
      replies: stored,
      lossLimit,
      nowMs: NOW_MS,
    });
    assert.equal(describeHolders(copies), expected.holders);
    assert.equal(copies.minimumCopies, expected.minimumCopies);
    assert.equal(copies.wholeVersion === VERSION, expected.isWhole);
    assert.equal(countUnavailable(copies, stored, NOW_MS), expected.unavailable);
  });
});

test('copies on a missing disk count until all that it stored has expired', () => {
  const holders = [{ id: 'a', disk: 'a1', missingSinceMs: NOW_MS }] as Copies['holders'];
  const countAt = (nowMs: number) => relevantHolders({ holders }, nowMs).length;
  assert.equal(countAt(NOW_MS + MISSING_COPY_EXPIRY_MS - 1), 1);
  assert.equal(countAt(NOW_MS + MISSING_COPY_EXPIRY_MS), 0);
  // A clock that was set back prolongs the time.
  assert.equal(countAt(0), 1);
});

test('a roster of an earlier version counts all listed disks', () => {
  const keeper = { id: 'a', address: '', domain: '', disk: 'a1', leaving: false };
  const value = JSON.stringify({ keepers: [keeper, { ...keeper, id: 'b', disk: 'b1' }] });
  const roster = parseRoster(value, VERSION) as Roster;
  const copies = copiesOf(roster, 1);
  assert.equal(describeHolders(copies), 'a1, b1');
  assert.equal(unreadLimit(copies), 1);
});
