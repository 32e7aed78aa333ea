import assert from 'node:assert/strict';
import test from 'node:test';
import { SystemClock } from '@marjorampin/types';
import { PeerClient } from '../peerClient';
import { PeerHandler } from '../peerChannel';
import { PeerServer } from '../peerServer';

const MB = 1_000_000;
const LOOPBACK = { host: '127.0.0.1', port: 0 };

/** Replies to stored turns with an acknowledgement, and to other requests with a chain of the same size. */
class EchoHandler extends PeerHandler {
  received = 0;

  override async handle(request: Parameters<PeerHandler['handle']>[0]) {
    if (request.body.case !== 'commitTurn') throw new Error('an unexpected request');
    const input = request.body.value.record?.input ?? new Uint8Array();
    this.received += input.length;
    return { body: { case: 'turnChain' as const, value: { records: [{ input }] } } };
  }

  override handleReport(): void {}
}

/** Messages that are sent and answered on one stream at once. */
const CASES = [
  { name: 'one of 8 MB', bytes: 8 * MB, count: 1 },
  { name: '24 of 1 MB', bytes: MB, count: 24 },
  { name: '600 of 1 kB', bytes: 1_000, count: 600 },
];

CASES.forEach(({ name, bytes, count }) => {
  test(`messages at once on one stream: ${name}`, async () => {
    const clock = new SystemClock();
    const handler = new EchoHandler();
    const server = new PeerServer({ address: LOOPBACK, handler, clock });
    const { host, port } = await server.listen();
    const client = new PeerClient({
      address: `${host}:${port}`,
      handler: new EchoHandler(),
      clock,
    });
    try {
      const call = async () => {
        const record = { turn: 't', input: new Uint8Array(bytes) };
        const reply = await client.call({ case: 'commitTurn', value: { record } });
        assert.equal(reply.body.case, 'turnChain');
      };
      await Promise.all(Array.from({ length: count }, call));
      assert.equal(handler.received, bytes * count);
    } finally {
      await client.close();
      await server.close();
    }
  });
});
