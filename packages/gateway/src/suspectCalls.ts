import type { Metrics } from '@marjorampin/metrics';
import type { InputStanding, Quarantine, Suspect } from '@marjorampin/quarantine';
import { boundedDelayMs } from '@marjorampin/routing';
import { CallError } from '@marjorampin/types';
import type { CallInput } from './callInput';

/** Delay after which a caller should repeat a call that has to run apart from others. */
const RETRY_AFTER_MS = 300;
/** The same if no endpoint may be risked; most crashed endpoints return within a few seconds. */
const LAST_ENDPOINT_RETRY_AFTER_MS = 2_000;

/** Number of answered targets that are remembered. */
const MAXIMUM_TARGETS = 10_000;

/** Numbers of endpoints of a service. */
export interface EndpointCounts {
  registered: number;
  available: number;
}

/** Why a call is not sent to an endpoint. */
type HoldReason = 'quarantined' | 'delayed' | 'in-progress' | 'last-endpoint';

/** A call with a suspected input that is about to be sent. */
export interface SuspectCall {
  input: CallInput;
  service: string;
  /** Milliseconds until the caller's deadline. */
  remainingMs: number;
  endpoints: EndpointCounts;
}

/** Numbers of independent crashes of an input and of its target. */
export interface PriorCrashes {
  priorCrashes: number;
  priorTargetCrashes: number;
}

const NO_CRASHES: PriorCrashes = { priorCrashes: 0, priorTargetCrashes: 0 };

/** Options of `SuspectCalls`. */
export interface SuspectCallsOptions {
  quarantine: Quarantine;
  metrics: Metrics;
}

/**
 * Decides on calls whose inputs were interrupted by crashes. Answers inputs that crash each endpoint:
 * suspected ones run apart from each other, so that the next crash shows which one is its cause.
 */
export class SuspectCalls {
  private readonly quarantine: Quarantine;

  private readonly metrics: Metrics;

  /** Suspected inputs and targets in progress. */
  private readonly running = new Set<string>();

  /** Keys of the targets of answered calls, least recently used first. */
  private readonly answeredTargets = new Set<string>();

  constructor({ quarantine, metrics }: SuspectCallsOptions) {
    this.quarantine = quarantine;
    this.metrics = metrics;
  }

  /** Throws `quarantined` if the input is not sent to endpoints any more. */
  refuseQuarantined(input: CallInput): void {
    const { quarantined } = this.standingOf(input);
    if (!quarantined) return;
    const { digest, service, endpoints } = quarantined;
    this.count(service, 'quarantined');
    const message = `the input ${digest} is quarantined, as endpoints crashed under it (${endpoints.join(', ')}); don't repeat the call, and ask the operators to lift the quarantine once the service is fixed`;
    throw new CallError({ kind: 'quarantined', message });
  }

  /** Returns the position of an input among the suspected ones; undefined if it is not suspected. */
  rankOf(input: CallInput): number | undefined {
    const { crashes, rank } = this.standingOf(input);
    return crashes > 0 ? rank : undefined;
  }

  /** Throws `overloaded` if a suspected input must not run now. */
  refuseUnsafe({ input, service, remainingMs, endpoints }: SuspectCall): void {
    const { delayMs } = this.standingOf(input);
    if (delayMs > 0) {
      this.count(service, 'delayed');
      throw heldBack('the input was interrupted by several crashes', delayMs);
    }
    if (input.digests.some((digest) => this.running.has(digest))) {
      this.count(service, 'in-progress');
      const retryAfterMs = boundedDelayMs(RETRY_AFTER_MS, remainingMs);
      throw heldBack('the same input is being tried after a crash', retryAfterMs);
    }
    if (endpoints.available < 2 && endpoints.registered > 1) {
      this.count(service, 'last-endpoint');
      const reason = 'the input was interrupted by a crash, and only one endpoint is left';
      throw heldBack(reason, boundedDelayMs(LAST_ENDPOINT_RETRY_AFTER_MS, remainingMs));
    }
  }

  /** Records that a suspected input is sent to an endpoint; the returned function records its end. */
  begin(input: CallInput): () => void {
    const suspected = input.digests.filter(
      (digest) => this.quarantine.standingOf(() => [digest]).crashes > 0,
    );
    suspected.forEach((digest) => this.running.add(digest));
    return () => suspected.forEach((digest) => this.running.delete(digest));
  }

  /** Records that an input ran to an answer. */
  recordAnswer(input: CallInput): void {
    const { targetKey } = input;
    this.answeredTargets.delete(targetKey);
    this.answeredTargets.add(targetKey);
    const [oldest] = this.answeredTargets;
    if (this.answeredTargets.size > MAXIMUM_TARGETS && oldest !== undefined) {
      this.answeredTargets.delete(oldest);
    }
    const { crashes, quarantined } = this.standingOf(input);
    if (crashes > 0 || quarantined) this.quarantine.reportAnswer(input.digests);
  }

  /**
   * Returns a call as a suspect of a crash. Its target is suspected only if no other call with it was
   * answered: many targets, such as that of a model, are shared by innocent calls.
   */
  suspectOf(
    { digest, target, targetKey }: CallInput,
    route: string,
    { priorCrashes, priorTargetCrashes }: Partial<PriorCrashes> = {},
  ): Suspect {
    if (this.answeredTargets.has(targetKey)) return { digest, route, priorCrashes };
    return { digest, target, route, priorCrashes, priorTargetCrashes };
  }

  /** Returns what is known of an input and its target, before a call is sent. */
  priorCrashesOf(input: CallInput): PriorCrashes {
    if (this.standingOf(input).crashes === 0) return NO_CRASHES;
    const crashesOf = (digest: string) => this.quarantine.standingOf(() => [digest]).crashes;
    return {
      priorCrashes: crashesOf(input.digest),
      priorTargetCrashes: crashesOf(input.target),
    };
  }

  private count(service: string, reason: HoldReason): void {
    this.metrics.count('calls_held_back_total', { service, reason });
  }

  private standingOf(input: CallInput): InputStanding {
    return this.quarantine.standingOf(() => input.digests);
  }
}

function heldBack(reason: string, delayMs: number): CallError {
  const retryAfterMs = Math.round(delayMs);
  const message = `${reason}; retry after ${retryAfterMs} ms`;
  return new CallError({ kind: 'overloaded', message, retryAfterMs });
}
