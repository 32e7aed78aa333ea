import assert from 'node:assert/strict';
import test from 'node:test';
import { type Endpoint, ManualClock } from '@marjorampin/types';
import { chooseEndpoint } from '../chooseEndpoint';
import { EndpointDirectory } from '../endpointDirectory';

const REQUEST = { warmEndpoint: '', contextTokens: 0, wastedCachePriceMs: 0 };

const endpoint = (id: string, service = 's'): Endpoint => ({
  id,
  service,
  address: '127.0.0.1:9000',
  incarnation: '1',
  domain: 'd',
  state: 'live',
});

function directoryOf(endpoints: Endpoint[]): EndpointDirectory {
  const directory = new EndpointDirectory({ clock: new ManualClock() });
  directory.update(endpoints);
  return directory;
}

/** Random numbers drawn at ties between a, b and c, and the choice; `d` has a running call. */
const TIES: { draws: number[] | undefined; chosen: string }[] = [
  { draws: undefined, chosen: 'a' },
  { draws: [0.5, 0.34], chosen: 'a' },
  { draws: [0.49, 0.34], chosen: 'b' },
  { draws: [0.49, 0.33], chosen: 'c' },
  { draws: [0.99, 0], chosen: 'c' },
];

TIES.forEach(({ draws, chosen }) => {
  test(`of tied endpoints, ${chosen} is chosen with ${draws?.join(' and ') ?? 'no numbers'}`, () => {
    const directory = directoryOf(['a', 'd', 'b', 'c'].map((id) => endpoint(id)));
    directory.callStarted('d');
    const left = [...(draws ?? [])];
    const random = draws && (() => left.shift() ?? assert.fail('a number too many was drawn'));
    const view = chooseEndpoint(directory.available('s'), REQUEST, {}, random);
    assert.equal(view?.endpoint.id, chosen);
    assert.equal(left.length, 0);
  });
});

/** Updates of the directory, and the ids of service `s` afterwards. */
const UPDATES: { name: string; updates: Endpoint[][]; ids: string[] }[] = [
  { name: 'none', updates: [], ids: [] },
  { name: 'another service', updates: [[endpoint('a'), endpoint('b', 't')]], ids: ['a'] },
  {
    name: 'a removed endpoint',
    updates: [[endpoint('a'), endpoint('b')], [endpoint('b')]],
    ids: ['b'],
  },
  {
    name: 'a changed service',
    updates: [
      [endpoint('a'), endpoint('b')],
      [endpoint('a', 't'), endpoint('b')],
    ],
    ids: ['b'],
  },
];

UPDATES.forEach(({ name, updates, ids }) => {
  test(`the endpoints of a service are those of the latest update: ${name}`, () => {
    const directory = directoryOf([]);
    updates.forEach((endpoints) => directory.update(endpoints));
    const found = directory.ofService('s').map((view) => view.endpoint.id);
    assert.deepEqual(found, ids);
  });
});
