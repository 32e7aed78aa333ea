/** Registrations of endpoints that another writer left (docs/design/reported-failures.md). */
import assert from 'node:assert/strict';
import test from 'node:test';
import { MemoryEventLog } from '@marjorampin/logging';
import { Metrics } from '@marjorampin/metrics';
import type { PeerPool } from '@marjorampin/protocol';
import { ENDPOINT_PREFIX, MemoryKeyValueStore } from '@marjorampin/store';
import { SystemClock } from '@marjorampin/types';
import { EndpointDispatcher } from '../endpointDispatcher';

const NESTING = 400_000;
const NESTED = `${'['.repeat(NESTING)}${']'.repeat(NESTING)}`;

const clock = new SystemClock();

const endpointOf = (id: string) => ({
  id,
  service: 's',
  address: '127.0.0.1:7400',
  incarnation: '1',
  domain: 'd',
  state: 'live',
});

/** Text of a registration with one field replaced by other text. */
const endpointWith = (field: string, text: string) =>
  `${JSON.stringify({ ...endpointOf('odd'), [field]: undefined }).slice(0, -1)},"${field}":${text}}`;

const ODD = [
  '',
  '{"id":',
  'null',
  '{}',
  NESTED,
  '['.repeat(NESTING),
  endpointWith('id', '"other"'),
  endpointWith('service', '1e999'),
  endpointWith('service', NESTED),
  ...['127.0.0.1:0', '127.0.0.1:65536', '127.0.0.1:99999', '256.0.0.1:80', '[:]:80', ''].map(
    (text) => endpointWith('address', `"${text}"`),
  ),
  endpointWith('state', '"asleep"'),
];

ODD.forEach((value) => {
  test(`${value.slice(0, 120)} is no endpoint, and changes are still followed`, async () => {
    const store = new MemoryKeyValueStore();
    const put = async (id: string, text: string) => {
      const key = `${ENDPOINT_PREFIX}${id}`;
      const expectedVersion = (await store.get(key)).unwrap()?.version ?? 0;
      (await store.compareAndSwap({ key, value: text, expectedVersion })).unwrap();
    };
    await put('odd', value);
    await put('a', JSON.stringify(endpointOf('a')));
    const dispatcher = new EndpointDispatcher({
      store,
      peers: {} as PeerPool,
      clock,
      log: new MemoryEventLog(),
      metrics: new Metrics(),
    });
    const known = () => dispatcher.directory.all().map(({ endpoint }) => endpoint.id);
    try {
      await dispatcher.start();
      assert.deepEqual(known(), ['a']);
      await put('odd', `${value} `);
      await put('b', JSON.stringify(endpointOf('b')));
      while (!dispatcher.get('b')) await clock.sleep(5);
      assert.deepEqual(known().sort(), ['a', 'b']);
    } finally {
      dispatcher.stop();
    }
  });
});
