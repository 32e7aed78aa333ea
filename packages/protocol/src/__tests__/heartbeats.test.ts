import assert from 'node:assert/strict';
import test from 'node:test';
import { ManualClock } from '@marjorampin/types';
import { PeerChannel, PeerHandler } from '../peerChannel';

class NoopHandler extends PeerHandler {
  override async handle() {
    return {};
  }

  override handleReport(): void {}
}

/** Interval of the ticks in milliseconds, equal to `HEARTBEAT_INTERVAL_MS`. */
const TICK_INTERVAL_MS = 500;

/** Times at which another frame is sent, and the expected number of heartbeats in ten ticks. */
const CASES = [
  { name: 'an idle stream sends one at every tick', sentAtMs: [], heartbeats: 10 },
  {
    name: 'a frame just before a tick replaces the heartbeat',
    sentAtMs: [490, 1_400],
    heartbeats: 8,
  },
  {
    name: 'a frame long before a tick does not replace the heartbeat',
    sentAtMs: [10, 1_200],
    heartbeats: 10,
  },
];

CASES.forEach(({ name, sentAtMs, heartbeats }) => {
  test(`heartbeats: ${name}`, async () => {
    const clock = new ManualClock();
    const channel = new PeerChannel({ handler: new NoopHandler(), clock, peer: 'p' });
    const sent: string[] = [];
    const reading = (async () => {
      for await (const { frames } of channel.outgoing) {
        frames.forEach(({ body }) => sent.push(body.case ?? ''));
      }
    })();
    const ticks = Array.from({ length: 10 }, (_, index) => (index + 1) * TICK_INTERVAL_MS);
    const steps = [...ticks, ...sentAtMs].sort((a, b) => a - b);
    for (const atMs of steps) {
      await clock.advance(atMs - clock.now());
      // Receiving a batch at every step keeps the stream open.
      channel.receive({ $typeName: 'marjorampin.peer.v1.Batch', frames: [] });
      if (ticks.includes(atMs)) channel.tick();
      else channel.report({});
    }
    channel.close('the test ends');
    await reading;
    assert.equal(sent.filter((kind) => kind === 'heartbeat').length, heartbeats);
  });
});
