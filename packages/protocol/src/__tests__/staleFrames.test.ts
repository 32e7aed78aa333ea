import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SystemClock } from '@marjorampin/types';
import { PeerChannel, PeerHandler } from '../peerChannel';

class Nobody extends PeerHandler {
  override async handle(): Promise<never> {
    throw new Error('no requests');
  }

  override handleReport(): void {}
}

test('a call that was cancelled before its stream opened is not sent', async () => {
  const clock = new SystemClock();
  const channel = new PeerChannel({ handler: new Nobody(), clock, peer: 'p', isOpen: false });
  const abort = new AbortController();
  const call = channel
    .call({ case: 'probe', value: {} }, { signal: abort.signal })
    .catch(() => 'cancelled');
  abort.abort();
  assert.equal(await call, 'cancelled');
  channel.open();
  assert.equal(channel.outgoing.length, 0, 'frames of a cancelled call are sent');
  channel.close('end');
});
