import { expectedWaitMs } from './chooseEndpoint';
import type { ChoiceOptions } from './chooseEndpoint';
import type { EndpointView } from './endpointDirectory';

/** Shortest retry delay: about one call at an endpoint has ended by then. */
const MINIMUM_DELAY_MS = 100;
/** Share of the remaining time that a caller may be told to wait, so that two attempts are left. */
const MAXIMUM_DELAY_SHARE = 1 / 3;
/** Calls that continue a program return in the first half of the delay, new ones in the second; new
 * ones wait half as long for a permit. */
const CONTINUATION_SHARE = 0.5;

/** Share of the remaining time, and longest time, that a call waits for a rate-limited endpoint. */
const MAXIMUM_PERMIT_WAIT_SHARE = 1 / 8;
const MAXIMUM_PERMIT_WAIT_MS = 500;

/** Share of the time left to a new program for which its first call waits for a slot. Its further calls wait about as
 * long, and the time left is usually a small multiple of the work. */
const NEW_PROGRAM_WAIT_SHARE = 0.1;
/** The same for programs of the highest rank, whose calls go before most of those that the wait counts. */
const HIGHEST_RANK_WAIT_SHARE = 0.3;

/** A call that may have to be refused. */
export interface RefusalRequest {
  /** Milliseconds until the caller's deadline. */
  remainingMs: number;
  /** Whether the call continues a program whose earlier calls would be lost with it. */
  isContinuation: boolean;
  /** Random number from 0 to 1 that spreads the returns of callers. */
  random: number;
}

/** A program whose first call may have to be refused. */
export interface NewProgram {
  /** Milliseconds until the program should have ended. */
  finishMs: number;
  /** Priority rank of its calls; 0 is the highest. */
  rank: number;
}

/** Returns the shortest expected wait at any endpoint; infinite if there is none. */
export function shortestWaitMs(views: EndpointView[], options: ChoiceOptions): number {
  return Math.min(Infinity, ...views.map((view) => expectedWaitMs(view, options)));
}

/**
 * Returns whether a call can't be answered before its deadline even at the least loaded endpoint.
 * Answers bursts beyond the capacity: callers learn at once that they have to come back, instead of
 * waiting in a queue until their time is over.
 */
export function isHopeless(waitMs: number, { remainingMs }: RefusalRequest): boolean {
  return Number.isFinite(waitMs) && waitMs > remainingMs;
}

/**
 * Returns whether a program that begins now would probably end late: its first call waits too long for a slot.
 * Answers demand above the capacity that lasts longer than a program: if each new one began, those in progress would
 * end late, too, and the overload would outlast its cause.
 */
export function isTooLateToBegin(slotWaitMs: number, { finishMs, rank }: NewProgram): boolean {
  const share = rank === 0 ? HIGHEST_RANK_WAIT_SHARE : NEW_PROGRAM_WAIT_SHARE;
  return Number.isFinite(slotWaitMs) && slotWaitMs > finishMs * share;
}

/**
 * Returns how long a call waits for the permit of a rate-limited endpoint, in milliseconds. Answers
 * demand above the limits: few calls wait, so that those that are served are served soon, and calls
 * that continue a program get the permits for which new ones don't wait long enough.
 */
export function permitPatienceMs({ remainingMs, isContinuation }: RefusalRequest): number {
  const patienceMs = Math.min(MAXIMUM_PERMIT_WAIT_MS, remainingMs * MAXIMUM_PERMIT_WAIT_SHARE);
  return isContinuation ? patienceMs : patienceMs * CONTINUATION_SHARE;
}

/**
 * Returns the delay after which a refused caller should retry, in milliseconds: about the time in
 * which the least loaded endpoint works off its queue. Answers the return of many refused callers
 * at the same time: delays are spread, and calls that continue a program return before new ones.
 */
export function retryDelayMs(
  waitMs: number,
  { remainingMs, isContinuation, random }: RefusalRequest,
): number {
  const drainMs = Number.isFinite(waitMs) ? Math.max(waitMs, MINIMUM_DELAY_MS) : MINIMUM_DELAY_MS;
  const position = isContinuation
    ? random * CONTINUATION_SHARE
    : CONTINUATION_SHARE + random * (1 - CONTINUATION_SHARE);
  const delayMs = MINIMUM_DELAY_MS + 2 * drainMs * position;
  return boundedDelayMs(delayMs, remainingMs);
}

/** Returns a retry delay of at most the share of the remaining time that leaves two attempts. */
export function boundedDelayMs(delayMs: number, remainingMs: number): number {
  return Math.round(Math.min(delayMs, Math.max(0, remainingMs) * MAXIMUM_DELAY_SHARE));
}
