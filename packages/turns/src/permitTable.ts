import type { PermitDecision, RateLimit } from '@marjorampin/routing';
import type { Clock } from '@marjorampin/types';
import { type OwnedPermitRequest, OwnedRateLimit } from './ownedRateLimit';

/** Number of endpoints whose schedules are kept: more than are limited at the same time. */
const MAXIMUM_ENDPOINTS = 10_000;

/** Request for the permit to send one request to an endpoint. */
export interface TablePermitRequest extends OwnedPermitRequest {
  /** Key of the endpoint, which differs for each of its incarnations. */
  endpoint: string;
  /** Limit as the requesting process knows it. */
  limit: RateLimit;
}

/** Decision on a permit, with the newest limit that is known. */
export interface TablePermit extends PermitDecision {
  limit: RateLimit;
}

/**
 * Grants permits for this keeper's part of the endpoints' rate limits. Nothing is stored: after a
 * restart, the first permit of an endpoint becomes available as late as under an even distribution.
 */
export class PermitTable {
  private readonly clock: Clock;

  /** Least recently used endpoints first. */
  private readonly limits = new Map<string, OwnedRateLimit>();

  constructor({ clock }: { clock: Clock }) {
    this.clock = clock;
  }

  /** Decides on a permit; one for an endpoint without a limit is granted at once. */
  acquire(request: TablePermitRequest): TablePermit {
    const owned = this.use(request.endpoint);
    owned.observed.observe(request.limit);
    const decision = owned.acquire(request, this.clock.now());
    return { ...decision, limit: owned.observed.current };
  }

  /** Records a limit that a process observed. */
  observe(endpoint: string, limit: RateLimit): void {
    this.use(endpoint).observed.observe(limit);
  }

  private use(endpoint: string): OwnedRateLimit {
    const owned = this.limits.get(endpoint) ?? new OwnedRateLimit();
    this.limits.delete(endpoint);
    this.limits.set(endpoint, owned);
    const [oldest] = this.limits.keys();
    if (this.limits.size > MAXIMUM_ENDPOINTS && oldest !== undefined) this.limits.delete(oldest);
    return owned;
  }
}
