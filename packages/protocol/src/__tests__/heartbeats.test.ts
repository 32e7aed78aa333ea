import assert from 'node:assert/strict';
import test from 'node:test';
import { create } from '@bufbuild/protobuf';
import { type CallError, ManualClock } from '@marjorampin/types';
import { BatchSchema } from '../gen/peer_pb';
import { PeerChannel, PeerHandler, type Supervision } from '../peerChannel';

class NoopHandler extends PeerHandler {
  override async handle() {
    return {};
  }

  override handleReport(): void {}
}

/** Interval of the ticks in milliseconds, equal to `HEARTBEAT_INTERVAL_MS`. */
const TICK_INTERVAL_MS = 500;

/** Times at which another frame is sent, and the expected number of heartbeats in ten ticks. */
const CASES: { name: string; supervision?: Supervision; sentAtMs: number[]; heartbeats: number }[] =
  [
    { name: 'an idle stream sends one at every tick', sentAtMs: [], heartbeats: 10 },
    {
      name: 'an idle stream that is supervised during calls sends none',
      supervision: 'during calls',
      sentAtMs: [],
      heartbeats: 0,
    },
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

CASES.forEach(({ name, supervision = 'always', sentAtMs, heartbeats }) => {
  test(`heartbeats: ${name}`, async () => {
    const clock = new ManualClock();
    const channel = new PeerChannel({ handler: new NoopHandler(), clock, peer: 'p', supervision });
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

/** What a channel does that is supervised during calls, with a call in progress; the peer's frames
 * arrive at the given times. */
const CALL_CASES = [
  { name: 'fails a call and closes a mute stream', receivedAtMs: [], isClosed: true },
  {
    name: 'fails a call and keeps a stream on which the peer is heard',
    receivedAtMs: [400, 900],
    isClosed: false,
  },
];

CALL_CASES.forEach(({ name, receivedAtMs, isClosed }) => {
  test(`a stream supervised during calls ${name}`, async () => {
    const clock = new ManualClock();
    let isTicking = false;
    const channel = new PeerChannel({
      handler: new NoopHandler(),
      clock,
      peer: 'p',
      supervision: 'during calls',
      onSupervised: () => {
        isTicking = true;
      },
    });
    // Silence before the call does not count.
    await clock.advance(60_000);
    assert.equal(isTicking, false);
    const call = channel.call({ case: 'probe', value: {} }, { progressTimeoutMs: 900 });
    const outcome = call.then(
      () => 'reply',
      (error: CallError) => error.kind,
    );
    assert.equal(isTicking, true);
    const ticks = [500, 1_000];
    let elapsedMs = 0;
    for (const atMs of [...ticks, ...receivedAtMs].sort((a, b) => a - b)) {
      await clock.advance(atMs - elapsedMs);
      elapsedMs = atMs;
      if (ticks.includes(atMs)) channel.tick();
      else channel.receive({ $typeName: 'marjorampin.peer.v1.Batch', frames: [] });
    }
    assert.equal(await outcome, 'deadline-exceeded');
    assert.equal(channel.isClosed, isClosed);
    assert.equal(channel.isSupervised, false);
  });
});

test('a pause of this process fails no call whose reply may be unread', async () => {
  const clock = new ManualClock();
  const channel = new PeerChannel({
    handler: new NoopHandler(),
    clock,
    peer: 'p',
    supervision: 'during calls',
  });
  const call = channel.call({ case: 'probe', value: {} }, { progressTimeoutMs: 900 });
  await clock.advance(10_000);
  channel.tick();
  assert.equal(channel.isClosed, false);
  channel.receive(
    create(BatchSchema, { frames: [{ call: 1, body: { case: 'reply', value: {} } }] }),
  );
  assert.ok(await call);
});
