import assert from 'node:assert/strict';
import test from 'node:test';
import { ManualClock, SystemClock } from '@marjorampin/types';
import { PeerChannel, PeerHandler, type Supervision } from '../peerChannel';
import { PeerClient } from '../peerClient';
import { PeerServer } from '../peerServer';

class EchoingHandler extends PeerHandler {
  override async handle() {
    return { body: { case: 'acknowledgement' as const, value: { accepted: true } } };
  }

  override handleReport(): void {}
}

const HOST = '127.0.0.1';
const CLIENTS = 8;
const CALL_INTERVAL_MS = 40;
const PROGRESS_TIMEOUT_MS = 900;
/** The longest delay between two attempts to connect, and time for an attempt. */
const RECONNECTION_MS = 2_000 + 600;
const TICK_INTERVAL_MS = 500;
const TICKS = 8;

const SUPERVISIONS: Supervision[] = ['always', 'during calls'];

/** Calls a peer at an interval until one call succeeds. */
function callUntilAnswered(client: PeerClient): Promise<void> {
  return new Promise((resolve) => {
    const timer = setInterval(() => {
      client.call({ case: 'probe', value: {} }, { progressTimeoutMs: PROGRESS_TIMEOUT_MS }).then(
        () => {
          clearInterval(timer);
          resolve();
        },
        () => undefined,
      );
    }, CALL_INTERVAL_MS);
  });
}

SUPERVISIONS.forEach((supervision) => {
  test(`a peer that is back is not reached while calls to it go on (supervised ${supervision})`, async () => {
    const clock = new SystemClock();
    const handler = new EchoingHandler();
    const reserved = new PeerServer({ address: { host: HOST, port: 0 }, handler, clock });
    const { port } = await reserved.listen();
    await reserved.close();
    const address = `${HOST}:${port}`;
    const clients = Array.from(
      { length: CLIENTS },
      () => new PeerClient({ address, handler, clock, supervision }),
    );
    const answered = Promise.all(clients.map(callUntilAnswered));
    // Long enough for the longest delay between two attempts.
    await clock.sleep(4_000);
    const server = new PeerServer({ address: { host: HOST, port }, handler, clock });
    await server.listen();
    const outcome = await Promise.race([
      answered.then(() => 'answered'),
      clock.sleep(RECONNECTION_MS).then(() => 'not reached'),
    ]);
    clients.forEach((client) => client.close());
    await server.close();
    assert.equal(outcome, 'answered');
  });

  test(`a stream counts as silent before it is opened (supervised ${supervision})`, async () => {
    const clock = new ManualClock();
    const channel = new PeerChannel({
      handler: new EchoingHandler(),
      clock,
      peer: 'p',
      supervision,
      isOpen: false,
    });
    const errors: string[] = [];
    const callAndTick = async () => {
      channel
        .call({ case: 'probe', value: {} }, { progressTimeoutMs: PROGRESS_TIMEOUT_MS })
        .catch(({ kind }: { kind: string }) => errors.push(kind));
      await clock.advance(TICK_INTERVAL_MS);
      channel.tick();
    };
    for (let tick = 0; tick < TICKS; tick += 1) await callAndTick();
    assert.equal(channel.isClosed, false);
    assert.ok(errors.length > 0 && errors.every((kind) => kind === 'deadline-exceeded'));
    channel.open();
    await callAndTick();
    assert.equal(channel.isClosed, false);
    await callAndTick();
    assert.equal(channel.isClosed, true);
  });
});
