import { CallError, type Priority } from '@marjorampin/types';
import { expectedWaitMs } from './chooseEndpoint';
import type { EndpointView } from './endpointDirectory';

/** Expected wait at the best endpoint above which a call of a class is refused. */
const WAIT_LIMIT_MS: Record<Priority, number> = {
  urgent: 20_000,
  standard: 6_000,
  background: 600,
};

const SHORTEST_RETRY_MS = 500;

/** Refuses a call early, as "not run", when every endpoint has more work than its class may wait for. */
export function admitCall(views: EndpointView[], priority: Priority): void {
  if (views.length === 0) return;
  const waitMs = Math.min(...views.map((view) => expectedWaitMs(view)));
  if (waitMs <= WAIT_LIMIT_MS[priority]) return;
  const retryAfterMs = Math.max(SHORTEST_RETRY_MS, Math.round(waitMs - WAIT_LIMIT_MS[priority]));
  const message = `the service has about ${Math.round(waitMs)} ms of work ahead, too much for ${priority} calls; retry after ${retryAfterMs} ms`;
  throw new CallError({ kind: 'overloaded', message, retryAfterMs });
}
