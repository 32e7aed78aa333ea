import {
  ObservedRateLimit,
  type PermitDecision,
  PermitSchedule,
  type RateLimit,
} from '@marjorampin/routing';
import type { Clock } from '@marjorampin/types';

/** Number of endpoints whose schedules are kept: more than are limited at the same time. */
const MAXIMUM_ENDPOINTS = 10_000;
const MS_PER_SECOND = 1_000;

/** Request for the permit to send one request to an endpoint. */
export interface TablePermitRequest {
  /** Key of the endpoint, which differs for each of its incarnations. */
  endpoint: string;
  /** Limit as the requesting process knows it. */
  limit: RateLimit;
  /** Number of keepers that share the limit, each with an equal part of the rate. */
  owners: number;
  /** Position of this keeper among them, from 0. */
  rank: number;
  maximumWaitMs: number;
}

/** Permits for one endpoint. */
interface LimitedEndpoint {
  observed: ObservedRateLimit;
  schedule: PermitSchedule | undefined;
}

/**
 * Grants permits for this keeper's part of the endpoints' rate limits. Nothing is stored: after a
 * restart, the first permit of an endpoint becomes available as late as under an even distribution.
 */
export class PermitTable {
  private readonly clock: Clock;

  /** Least recently used endpoints first. */
  private readonly endpoints = new Map<string, LimitedEndpoint>();

  constructor({ clock }: { clock: Clock }) {
    this.clock = clock;
  }

  /** Records what a process observed, and returns the newest limit that is known. */
  observe(endpoint: string, limit: RateLimit): RateLimit {
    return this.observeIn(endpoint, limit).observed.current;
  }

  /** Decides on a permit; one for an endpoint without a limit is granted at once. */
  acquire({ endpoint, limit, owners, rank, maximumWaitMs }: TablePermitRequest): PermitDecision {
    const limited = this.observeIn(endpoint, limit);
    const { perSecond } = limited.observed.current;
    if (perSecond === undefined) return { isGranted: true, waitMs: 0, nextWaitMs: 0 };
    const nowMs = this.clock.now();
    const ownPerSecond = perSecond / owners;
    const firstAtMs = nowMs + ((rank + 1) * MS_PER_SECOND) / perSecond;
    limited.schedule ??= new PermitSchedule({ perSecond: ownPerSecond, firstAtMs });
    limited.schedule.setRate(ownPerSecond, nowMs);
    return limited.schedule.acquire({ nowMs, maximumWaitMs });
  }

  private observeIn(endpoint: string, limit: RateLimit): LimitedEndpoint {
    const limited = this.endpoints.get(endpoint) ?? {
      observed: new ObservedRateLimit(),
      schedule: undefined,
    };
    limited.observed.observe(limit);
    this.endpoints.delete(endpoint);
    this.endpoints.set(endpoint, limited);
    const [oldest] = this.endpoints.keys();
    if (this.endpoints.size > MAXIMUM_ENDPOINTS && oldest !== undefined) {
      this.endpoints.delete(oldest);
    }
    return limited;
  }
}
