import assert from 'node:assert/strict';
import test from 'node:test';
import { create } from '@bufbuild/protobuf';
import { RosterSchema } from '@marjorampin/protocol';
import { countDepartures, sourcesNeeded } from '../restoration';

const rosterOf = (ids: string, leaving = '') =>
  create(RosterSchema, {
    version: 1,
    keepers: [...ids].map((id) => ({ id, leaving: leaving.includes(id) })),
  });

const SOURCES = [
  { name: 'one joined', before: 'abc', after: 'abcd', lostDisk: 0, lossLimit: 1, needed: 2 },
  {
    name: 'one of four was lost',
    before: 'abcd',
    after: 'abc',
    lostDisk: 0,
    lossLimit: 1,
    needed: 2,
  },
  {
    name: 'one of three was lost',
    before: 'abc',
    after: 'ab',
    lostDisk: 0,
    lossLimit: 1,
    needed: 1,
  },
  {
    name: 'the own disk was lost',
    before: 'abcd',
    after: 'abcd',
    lostDisk: 1,
    lossLimit: 1,
    needed: 3,
  },
  {
    name: 'two of seven were lost',
    before: 'abcdefg',
    after: 'abcde',
    lostDisk: 0,
    lossLimit: 2,
    needed: 4,
  },
  {
    name: 'one of seven was lost',
    before: 'abcdefg',
    after: 'abcdef',
    lostDisk: 0,
    lossLimit: 2,
    needed: 4,
  },
];

SOURCES.forEach(({ name, before, after, lostDisk, lossLimit, needed }) => {
  test(`sources of a restoration: ${name}`, () => {
    const roster = rosterOf(after);
    const losses = countDepartures(rosterOf(before), roster) + lostDisk;
    assert.equal(sourcesNeeded({ roster, self: 'a', lossLimit, losses }), needed);
  });
});

test('sources of a restoration: a keeper that is being emptied counts once', () => {
  const emptied = rosterOf('abcd', 'd');
  assert.equal(countDepartures(rosterOf('abcd'), emptied), 1);
  assert.equal(countDepartures(emptied, rosterOf('abc')), 0);
});
