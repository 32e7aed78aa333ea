import assert from 'node:assert/strict';
import test from 'node:test';
import { ManualClock } from '@marjorampin/types';
import { PeerChannel, PeerHandler } from '../peerChannel';

class Silent extends PeerHandler {
  override async handle() {
    return {};
  }

  override handleReport(): void {}
}

/** Milliseconds between two ticks, as channels get them. */
const TICK_MS = 500;

/** Times at which something else is sent, and how many heartbeats ten ticks then send. */
const CASES = [
  { name: 'an idle stream sends one with every tick', sentAtMs: [], heartbeats: 10 },
  { name: 'a frame just before a tick takes its place', sentAtMs: [490, 1_400], heartbeats: 8 },
  { name: 'a frame long before a tick does not', sentAtMs: [10, 1_200], heartbeats: 10 },
];

CASES.forEach(({ name, sentAtMs, heartbeats }) => {
  test(`heartbeats: ${name}`, async () => {
    const clock = new ManualClock();
    const channel = new PeerChannel({ handler: new Silent(), clock, peer: 'p' });
    const sent: string[] = [];
    const reading = (async () => {
      for await (const { frames } of channel.outgoing) {
        frames.forEach(({ body }) => sent.push(body.case ?? ''));
      }
    })();
    const ticks = Array.from({ length: 10 }, (_, index) => (index + 1) * TICK_MS);
    const steps = [...ticks, ...sentAtMs].sort((a, b) => a - b);
    for (const atMs of steps) {
      await clock.advance(atMs - clock.now());
      // The peer is heard all the time, so that the stream stays open.
      channel.receive({ $typeName: 'marjorampin.peer.v1.Batch', frames: [] });
      if (ticks.includes(atMs)) channel.tick();
      else channel.report({});
    }
    channel.close('the test ends');
    await reading;
    assert.equal(sent.filter((kind) => kind === 'heartbeat').length, heartbeats);
  });
});
