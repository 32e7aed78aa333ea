import assert from 'node:assert/strict';
import test from 'node:test';
import { SystemClock } from '@marjorampin/types';
import { type IncomingCall, PeerHandler } from '../peerChannel';
import { PeerClient } from '../peerClient';
import { PeerServer } from '../peerServer';

const PROBE = { case: 'probe', value: { sender: 'test' } } as const;
const CALL_INTERVAL_MS = 100;
/** Shorter than the delay between two attempts to connect, as of calls to keepers. */
const PROGRESS_TIMEOUT_MS = 800;
/** Long enough for the longest delay between two attempts to connect. */
const DOWN_MS = 4_000;
/** The longest delay between two attempts, and a connection. */
const RECONNECTION_MS = 3_000;

class AcknowledgingHandler extends PeerHandler {
  override async handle(_request: unknown, _call: IncomingCall) {
    return { body: { case: 'acknowledgement', value: { accepted: true } } } as const;
  }

  override handleReport(): void {}
}

const clock = new SystemClock();

const startServer = async (port: number) => {
  const address = { host: '127.0.0.1', port };
  const server = new PeerServer({ address, handler: new AcknowledgingHandler(), clock });
  const bound = await server.listen();
  return { server, port: bound.port };
};

(['always', 'during calls'] as const).forEach((supervision) => {
  test(`a peer that is back is reached although calls never pause (supervision ${supervision})`, async (context) => {
    const { server, port } = await startServer(0);
    await server.close();
    const handler = new AcknowledgingHandler();
    const client = new PeerClient({ address: `127.0.0.1:${port}`, handler, clock, supervision });
    let answeredAtMs: number | undefined;
    const calls = setInterval(() => {
      client.call(PROBE, { progressTimeoutMs: PROGRESS_TIMEOUT_MS }).then(
        () => {
          answeredAtMs ??= clock.now();
        },
        () => undefined,
      );
    }, CALL_INTERVAL_MS);
    context.after(() => {
      clearInterval(calls);
      client.close();
    });
    await clock.sleep(DOWN_MS);
    const restarted = await startServer(port);
    context.after(() => restarted.server.close());
    const startedAtMs = clock.now();
    while (answeredAtMs === undefined && clock.now() - startedAtMs < RECONNECTION_MS) {
      await clock.sleep(CALL_INTERVAL_MS);
    }
    assert.notEqual(answeredAtMs, undefined);
  });
});
