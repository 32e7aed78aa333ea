import assert from 'node:assert/strict';
import { dirname, join } from 'node:path';
import test, { type TestContext } from 'node:test';
import { fileURLToPath } from 'node:url';
import { LinkProxy } from '@marjorampin/standins';
import { SystemClock, toCallError } from '@marjorampin/types';
import type { Reply } from '../gen/peer_pb';
import { PeerClient } from '../peerClient';
import { type IncomingCall, PeerHandler } from '../peerChannel';
import { PeerServer } from '../peerServer';
import type { TlsFiles } from '../tlsFiles';

const FIXTURES = join(dirname(fileURLToPath(import.meta.url)), '__fixtures__');
const TLS: TlsFiles = {
  certificate: join(FIXTURES, 'peer.pem'),
  key: join(FIXTURES, 'peer.key'),
  authority: join(FIXTURES, 'authority.pem'),
};
const LOOPBACK = { host: '127.0.0.1', port: 0 };
const PROBE = { case: 'probe', value: { sender: 'test' } } as const;

class AcknowledgingHandler extends PeerHandler {
  calls = 0;

  override async handle(_request: unknown, call: IncomingCall) {
    this.calls += 1;
    for (let index = 0; index < 300; index += 1) call.sendItem(`${index} `);
    return { body: { case: 'acknowledgement', value: { accepted: true } } } as const;
  }

  override handleReport(): void {
    this.calls += 0;
  }
}

async function startServer(context: TestContext, tls?: TlsFiles) {
  const handler = new AcknowledgingHandler();
  const clock = new SystemClock();
  const server = new PeerServer({ address: LOOPBACK, handler, clock, ...(tls ? { tls } : {}) });
  const { port } = await server.listen();
  context.after(() => server.close());
  return { handler, port };
}

function createClient(context: TestContext, port: number, tls?: TlsFiles): PeerClient {
  const handler = new AcknowledgingHandler();
  const address = `127.0.0.1:${port}`;
  const client = new PeerClient({ address, handler, clock: new SystemClock(), tls });
  context.after(() => client.close());
  return client;
}

/** Retries until the client has reconnected; until then, calls fail immediately as not run. */
async function callUntilConnected(client: PeerClient): Promise<Reply> {
  for (let attempt = 0; attempt < 200; attempt += 1) {
    const result = await client.call(PROBE).catch(toCallError);
    if ('body' in result) return result;
    assert.equal(result.execution, 'not-run');
    await new Promise((resolve) => {
      setTimeout(resolve, 25);
    });
  }
  return assert.fail('the client did not reconnect');
}

test('a call receives all streamed items in order, and then its reply', async (context) => {
  const { port } = await startServer(context);
  const items: string[] = [];
  const client = createClient(context, port);
  const reply = await client.call(PROBE, { onItem: (text) => items.push(text) });
  assert.equal(reply.body.case, 'acknowledgement');
  assert.equal(items.join(''), Array.from({ length: 300 }, (_, index) => `${index} `).join(''));
});

test('peers with certificates of the same authority connect', async (context) => {
  const { port } = await startServer(context, TLS);
  const reply = await createClient(context, port, TLS).call(PROBE);
  assert.equal(reply.body.case, 'acknowledgement');
});

test('a peer without a certificate is refused', async (context) => {
  const { handler, port } = await startServer(context, TLS);
  const error = await createClient(context, port).call(PROBE).catch(toCallError);
  assert.equal('kind' in error && error.kind, 'connection-lost');
  assert.equal(handler.calls, 0);
});

test('a stalled connection is closed and replaced by a new one', async (context) => {
  const { port } = await startServer(context);
  const link = new LinkProxy({ ...LOOPBACK, port });
  context.after(() => link.close());
  const client = createClient(context, (await link.listen(LOOPBACK)).port);
  await client.call(PROBE);
  link.stall();
  const error = await client.call(PROBE).catch(toCallError);
  assert.ok('kind' in error);
  assert.deepEqual([error.kind, error.execution], ['connection-lost', 'unknown']);
  assert.equal((await callUntilConnected(client)).body.case, 'acknowledgement');
});

test('a call cancelled before it is sent is not run, and the stream stays usable', async (context) => {
  const { port } = await startServer(context);
  const client = createClient(context, port);
  const signal = AbortSignal.abort();
  const cancelled = await client.call(PROBE, { signal }).catch(toCallError);
  assert.equal('kind' in cancelled && cancelled.execution, 'not-run');
  assert.equal((await client.call(PROBE)).body.case, 'acknowledgement');
});
