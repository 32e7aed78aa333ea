import assert from 'node:assert/strict';
import { once } from 'node:events';
import http2 from 'node:http2';
import type { AddressInfo } from 'node:net';
import test, { type TestContext } from 'node:test';
import { createClient } from '@connectrpc/connect';
import { connectNodeAdapter, createGrpcTransport } from '@connectrpc/connect-node';
import { SystemClock } from '@marjorampin/types';
import { type Batch, Peer, type Request } from '../gen/peer_pb';
import { PeerChannel, PeerHandler } from '../peerChannel';
import { PeerClient } from '../peerClient';
import { PeerServer } from '../peerServer';

const LOOPBACK = { host: '127.0.0.1', port: 0 };
const clock = new SystemClock();

/** Replies with the operation of a call as the text of the answer. */
class EchoHandler extends PeerHandler {
  override async handle({ body }: Request) {
    const text = body.case === 'serviceCall' ? body.value.body : '';
    return { body: { case: 'serviceResult', value: { status: 200, body: text } } } as const;
  }

  override handleReport(): void {}
}

const createChannel = () => new PeerChannel({ handler: new EchoHandler(), clock, peer: 'peer' });

async function receiveAll(channel: PeerChannel, batches: AsyncIterable<Batch>): Promise<void> {
  try {
    for await (const batch of batches) channel.receive(batch);
    channel.close('the stream ended');
  } catch (error) {
    channel.close(String(error));
  }
}

/** Starts a server with the adapter of connect-es, as earlier versions did. */
async function startEarlierServer(context: TestContext): Promise<number> {
  const server = http2.createServer(
    connectNodeAdapter({
      routes: (router) =>
        router.service(Peer, {
          async *exchange(batches) {
            const channel = createChannel();
            receiveAll(channel, batches);
            yield* channel.outgoing;
          },
        }),
      acceptCompression: [],
    }),
  );
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  context.after(() => server.close());
  return (server.address() as AddressInfo).port;
}

async function startServer(context: TestContext): Promise<number> {
  const server = new PeerServer({ address: LOOPBACK, handler: new EchoHandler(), clock });
  context.after(() => server.close());
  return (await server.listen()).port;
}

/** Connects with the transport of connect-es, as earlier versions did. */
function connectEarlierClient(context: TestContext, port: number): Pick<PeerChannel, 'call'> {
  const channel = createChannel();
  const controller = new AbortController();
  context.after(() => controller.abort());
  const baseUrl = `http://127.0.0.1:${port}`;
  const transport = createGrpcTransport({ baseUrl, acceptCompression: [] });
  const { signal } = controller;
  receiveAll(channel, createClient(Peer, transport).exchange(channel.outgoing, { signal }));
  return channel;
}

function connectClient(context: TestContext, port: number): Pick<PeerChannel, 'call'> {
  const address = `127.0.0.1:${port}`;
  const client = new PeerClient({ address, handler: new EchoHandler(), clock });
  context.after(() => client.close());
  return client;
}

const CASES = [
  { name: 'peers of this version', start: startServer, connect: connectClient },
  { name: 'a server of an earlier version', start: startEarlierServer, connect: connectClient },
  { name: 'a client of an earlier version', start: startServer, connect: connectEarlierClient },
];

/** Sizes of the messages in characters: within one HTTP/2 frame, and in many. */
const SIZES = [0, 1, 20_000, 3_000_000];

CASES.forEach(({ name, start, connect }) => {
  test(`messages of all sizes arrive whole: ${name}`, async (context) => {
    const client = connect(context, await start(context));
    const bodies = SIZES.map((size) => String.fromCharCode(97 + (size % 26)).repeat(size));
    const replies = await Promise.all(
      bodies.map((body) => client.call({ case: 'serviceCall', value: { body } })),
    );
    const received = replies.map(({ body }) => body.case === 'serviceResult' && body.value.body);
    assert.deepEqual(received, bodies);
  });
});

test('a request for another path is refused, and the server stays usable', async (context) => {
  const port = await startServer(context);
  const session = http2.connect(`http://127.0.0.1:${port}`);
  context.after(() => session.destroy());
  const stream = session.request({ ':method': 'POST', ':path': '/unknown' });
  const [headers] = await once(stream, 'response');
  assert.equal(headers[':status'], 404);
  const reply = await connectClient(context, port).call({ case: 'serviceCall', value: {} });
  assert.equal(reply.body.case, 'serviceResult');
});
