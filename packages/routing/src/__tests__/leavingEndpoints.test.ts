import assert from 'node:assert/strict';
import test from 'node:test';
import { type Endpoint, ManualClock } from '@marjorampin/types';
import { EndpointDirectory } from '../endpointDirectory';

const endpoint = (incarnation: string): Endpoint => ({
  id: 'e',
  service: 's',
  address: '127.0.0.1:9000',
  incarnation,
  domain: 'd',
  state: 'live',
});

/** Registrations after an endpoint announced that incarnation `1` is leaving. */
const CASES: { name: string; updates: Endpoint[][]; isAvailable: boolean }[] = [
  { name: 'is excluded at once', updates: [], isAvailable: false },
  {
    name: 'stays excluded while registered as live',
    updates: [[endpoint('1')]],
    isAvailable: false,
  },
  {
    name: 'stays excluded after its registration was lost and returned',
    updates: [[], [endpoint('1')]],
    isAvailable: false,
  },
  {
    name: 'is used again as a new incarnation',
    updates: [[endpoint('2')]],
    isAvailable: true,
  },
];

CASES.forEach(({ name, updates, isAvailable }) => {
  test(`a leaving endpoint ${name}`, () => {
    const directory = new EndpointDirectory({ clock: new ManualClock() });
    directory.update([endpoint('1')]);
    directory.markLeaving(endpoint('1'));
    updates.forEach((endpoints) => directory.update(endpoints));
    assert.equal(directory.available('s').length > 0, isAvailable);
  });
});
