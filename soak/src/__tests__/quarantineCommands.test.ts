import assert from 'node:assert/strict';
import test from 'node:test';
import { liftQuarantine, listQuarantine } from '@marjorampin/platform';
import { StoreStandin } from '../storeStandin';

const INPUTS = ['a1', 'b2'].map((digest) => ({
  digest,
  service: 's',
  route: 'r',
  sinceMs: 0,
  endpoints: ['e1 1', 'e2 1', 'e3 1'],
}));

test('operators can not list or lift quarantined inputs', async (context) => {
  const store = new StoreStandin();
  const { host, port } = await store.listen({ host: '127.0.0.1', port: 0 });
  context.after(() => store.close());
  const settings = { platform: { address: `${host}:${port}` } };
  assert.deepEqual(await listQuarantine(settings), []);
  await store.put('quarantine', { crashes: [], inputs: INPUTS });
  const lines = await listQuarantine(settings);
  assert.equal(lines[0], 'a1 1970-01-01T00:00:00.000Z service=s route=r e1 1, e2 1, e3 1');
  await liftQuarantine(settings, 'a1');
  assert.deepEqual(await listQuarantine(settings), lines.slice(1));
  await assert.rejects(liftQuarantine(settings, 'a1'), /"a1" is not|no input "a1"/);
  store.setMode('refuses');
  await assert.rejects(listQuarantine(settings), /retry later/);
});
