import assert from 'node:assert/strict';
import { once } from 'node:events';
import net, { type AddressInfo } from 'node:net';
import test from 'node:test';
import { SystemClock } from '@marjorampin/types';
import { PeerHandler } from '../peerChannel';
import { PeerPool } from '../peerPool';

class NoopHandler extends PeerHandler {
  override async handle(): Promise<never> {
    throw new Error('the test receives no requests');
  }

  override handleReport(): void {}
}

// The port of a peer that stopped may be reused by a server of another protocol. Its response ends
// the HTTP/2 session of the client with an error, which has to fail the stream and nothing else.
test('a server that does not speak HTTP/2 causes no uncaught error in its client', async (context) => {
  const server = net.createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => socket.end('HTTP/1.1 400 Bad Request\r\n\r\n'));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const pool = new PeerPool({ handler: new NoopHandler(), clock: new SystemClock() });
  context.after(() => {
    pool.close();
    server.close();
  });
  pool.get(`127.0.0.1:${port}`);
  const [socket] = (await once(server, 'connection')) as [net.Socket];
  await once(socket, 'close');
  assert.ok(socket.destroyed);
});
