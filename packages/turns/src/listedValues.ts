import type { MessageInitShape } from '@bufbuild/protobuf';
import type { PeerConnections, ReplySchema } from '@marjorampin/protocol';
import { ageOf, readTimeOf, type Snapshot } from '@marjorampin/store';
import type { Clock } from '@marjorampin/types';

/** Smallest age of values that were not read for the request. */
const MINIMUM_AGE_MS = 1;

/** Returns the reply to a request for all values of the store. */
export function valueListReply(
  { revision, values, readAt }: Snapshot,
  clock: Clock,
): MessageInitShape<typeof ReplySchema> {
  const ageMs = readAt ? Math.max(MINIMUM_AGE_MS, ageOf(readAt, clock)) : 0;
  return { body: { case: 'valueList', value: { revision, values, ageMs } } };
}

/** Requests all values of the store from a peer; rejects if it doesn't return them in time. */
export async function requestValues(
  peers: PeerConnections,
  address: string,
  { clock, timeoutMs }: { clock: Clock; timeoutMs: number },
): Promise<Snapshot> {
  const sentAt = readTimeOf(clock);
  const signal = AbortSignal.timeout(timeoutMs);
  const body = { case: 'listValues' as const, value: {} };
  const reply = await peers.get(address).call(body, { signal, progressTimeoutMs: timeoutMs });
  if (reply.body.case !== 'valueList') {
    throw new Error(`unexpected reply ${reply.body.case ?? 'without a body'}`);
  }
  const { revision, values, ageMs } = reply.body.value;
  const stored = values.map(({ key, value, version }) => ({ key, value, version }));
  if (ageMs === 0) return { revision, values: stored };
  // The peer computed the age after the request was sent, so the values are no older than that.
  const { monotonicMs, wallMs } = sentAt;
  const readAt = { monotonicMs: monotonicMs - ageMs, wallMs: wallMs - ageMs };
  return { revision, values: stored, readAt };
}
