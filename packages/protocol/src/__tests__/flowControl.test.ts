import assert from 'node:assert/strict';
import http2 from 'node:http2';
import type { AddressInfo } from 'node:net';
import test from 'node:test';
import { SystemClock } from '@marjorampin/types';
import { widenWindow } from '../flowControl';
import { PeerHandler } from '../peerChannel';
import { PeerServer } from '../peerServer';
import { PeerSession } from '../peerSession';

/** Size of the largest usual message, which has to be sent without waiting for the peer. */
const MESSAGE_BYTES = 1_000_000;
/** Longest wait for the frames that announce the windows. */
const TIMEOUT_MS = 5_000;

const clock = new SystemClock();

class SilentHandler extends PeerHandler {
  override handle(): Promise<never> {
    return Promise.reject(new Error('no call is expected'));
  }

  override handleReport(): void {}
}

async function assertWide(session: http2.Http2Session): Promise<void> {
  const until = clock.now() + TIMEOUT_MS;
  const isWide = () =>
    (session.remoteSettings.initialWindowSize ?? 0) >= MESSAGE_BYTES &&
    (session.state.remoteWindowSize ?? 0) >= MESSAGE_BYTES;
  while (!isWide() && clock.now() < until) await clock.sleep(5);
  assert.ok(isWide(), JSON.stringify([session.remoteSettings, session.state]));
}

test('a peer may send a large message to a server at once', async () => {
  const handler = new SilentHandler();
  const server = new PeerServer({ address: { host: '127.0.0.1', port: 0 }, handler, clock });
  const { port } = await server.listen();
  const session = http2.connect(`http://127.0.0.1:${port}`);
  try {
    await assertWide(session);
  } finally {
    session.destroy();
    await server.close();
  }
});

test('a server may send a large message to a peer at once', async () => {
  const server = http2.createServer((_, response) => response.end());
  const sessions: http2.ServerHttp2Session[] = [];
  server.on('session', (session) => sessions.push(session));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const client = new PeerSession({ authority: `http://127.0.0.1:${port}` });
  try {
    await client.request('POST', '/', {});
    const [session] = sessions;
    assert.ok(session);
    await assertWide(session);
  } finally {
    client.abort();
    server.close();
  }
});

/** Attempts to close a connection in the moment in which it is established. */
const ATTEMPTS = 400;
/** Turns of the event loop after which the connection is closed, at most. */
const MAXIMUM_TURNS = 8;

const nextTurn = () =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

test('a connection that is closed while it is established ends the process', async () => {
  const server = http2.createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
    const client = new PeerSession({ authority: `http://127.0.0.1:${port}` });
    const requested = client.request('POST', '/', {}).then(
      (stream) => stream.on('error', () => undefined),
      () => undefined,
    );
    for (let turn = 0; turn < attempt % MAXIMUM_TURNS; turn += 1) await nextTurn();
    client.abort();
    await requested;
  }
  server.close();
});

test('a session that is destroyed before its connection is reported ends the process', async () => {
  const server = http2.createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const session = http2.connect(`http://127.0.0.1:${port}`);
  session.on('error', () => undefined);
  session.destroy();
  assert.doesNotThrow(() => widenWindow(session));
  server.close();
});
