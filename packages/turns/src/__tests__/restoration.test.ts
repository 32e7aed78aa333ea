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

const CASES = [
  { name: 'one keeper joined', before: 'abc', after: 'abcd', lostDisk: 0, lossLimit: 1, needed: 2 },
  {
    name: 'one of four keepers was lost',
    before: 'abcd',
    after: 'abc',
    lostDisk: 0,
    lossLimit: 1,
    needed: 2,
  },
  {
    name: 'one of three keepers was lost',
    before: 'abc',
    after: 'ab',
    lostDisk: 0,
    lossLimit: 1,
    needed: 1,
  },
  {
    name: 'this keeper lost its disk',
    before: 'abcd',
    after: 'abcd',
    lostDisk: 1,
    lossLimit: 1,
    needed: 3,
  },
  {
    name: 'two of seven keepers were lost',
    before: 'abcdefg',
    after: 'abcde',
    lostDisk: 0,
    lossLimit: 2,
    needed: 4,
  },
  {
    name: 'one of seven keepers was lost',
    before: 'abcdefg',
    after: 'abcdef',
    lostDisk: 0,
    lossLimit: 2,
    needed: 4,
  },
];

CASES.forEach(({ name, before, after, lostDisk, lossLimit, needed }) => {
  test(`sourcesNeeded returns the required number of sources when ${name}`, () => {
    const roster = rosterOf(after);
    const losses = countDepartures(rosterOf(before), roster) + lostDisk;
    assert.equal(sourcesNeeded({ roster, self: 'a', lossLimit, losses }), needed);
  });
});

test('countDepartures counts a retiring keeper once', () => {
  const retiring = rosterOf('abcd', 'd');
  assert.equal(countDepartures(rosterOf('abcd'), retiring), 1);
  assert.equal(countDepartures(retiring, rosterOf('abc')), 0);
});
