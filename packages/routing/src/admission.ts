import { CallError, type Priority } from '@marjorampin/types';
import { expectedWaitMs } from './chooseEndpoint';
import type { EndpointView } from './endpointDirectory';

/** Limit on the expected wait at the best endpoint; calls beyond it are refused. */
const WAIT_LIMIT_MS: Record<Priority, number> = {
  urgent: 20_000,
  standard: 6_000,
  background: 600,
};

const MINIMUM_RETRY_DELAY_MS = 500;

/**
 * Throws `overloaded` with the execution `not-run` when the expected wait at every endpoint exceeds
 * the limit of the call's priority. Admits all calls when there are no endpoints.
 */
export function admitCall(views: EndpointView[], priority: Priority): void {
  if (views.length === 0) return;
  const waitMs = Math.min(...views.map((view) => expectedWaitMs(view)));
  if (waitMs <= WAIT_LIMIT_MS[priority]) return;
  const retryAfterMs = Math.max(
    MINIMUM_RETRY_DELAY_MS,
    Math.round(waitMs - WAIT_LIMIT_MS[priority]),
  );
  const message = `the expected wait of about ${Math.round(waitMs)} ms exceeds the limit for ${priority} calls; retry after ${retryAfterMs} ms`;
  throw new CallError({ kind: 'overloaded', message, retryAfterMs });
}
