import type { EventLog } from '@marjorampin/logging';
import type { Keeper, Reply, RequestBody, Roster } from '@marjorampin/protocol';
import type { RateLimit } from '@marjorampin/routing';
import type { Clock } from '@marjorampin/types';
import { activeKeepers } from './keeperGroup';
import { OwnerWaits } from './ownerWaits';
import { fromRateLimitMessage, toRateLimitMessage } from './rateLimitMessage';

/** Timeout of a request for a permit; well above the time of a reply from a busy keeper. */
const PERMIT_TIMEOUT_MS = 500;

/** Keepers as `PermitClient` uses them. */
export interface PermitKeepers {
  /** Newest roster, or undefined before the first one. */
  readonly roster: Roster | undefined;
  /** Returns the keepers that share the limit of an endpoint. */
  groupOf(key: string): Keeper[];
  /** Expected latency of a keeper's reply in milliseconds; infinite if it is unresponsive. */
  expectedMs(keeper: Keeper): number;
  /** Sends a request to one keeper. */
  callKeeper(keeper: Keeper, body: RequestBody, timeoutMs: number): Promise<Reply>;
}

/** Permit to send one request to an endpoint, or the reason why there is none. */
export interface Permit {
  outcome: 'granted' | 'denied' | 'unavailable';
  /** Time until the request may be sent. */
  waitMs: number;
  /** Newest limit that a keeper reported, if one did. */
  limit: RateLimit | undefined;
}

/** Request for a permit. */
export interface PermitClientRequest {
  /** Key of the endpoint, which differs for each of its incarnations. */
  endpoint: string;
  limit: RateLimit;
  /** Longest time that the request can wait for its permit. */
  maximumWaitMs: number;
}

/** Request for a permit to one of the owners of a limit. */
interface OwnerRequest extends PermitClientRequest {
  owners: number;
  rank: number;
}

const UNAVAILABLE: Permit = { outcome: 'unavailable', waitMs: 0, limit: undefined };

/** Options of `PermitClient`. */
export interface PermitClientOptions {
  keepers: PermitKeepers;
  clock: Clock;
  log: EventLog;
}

/**
 * Acquires permits for requests to rate-limited endpoints. A few keepers, the same for all processes,
 * share the limit of an endpoint in equal parts: together they never grant more than the limit, also
 * while some of them are unreachable or don't know of each other.
 */
export class PermitClient {
  private readonly keepers: PermitKeepers;

  private readonly clock: Clock;

  private readonly log: EventLog;

  private readonly waits: OwnerWaits;

  constructor({ keepers, clock, log }: PermitClientOptions) {
    this.keepers = keepers;
    this.clock = clock;
    this.log = log;
    this.waits = new OwnerWaits({ clock });
  }

  /** Returns the expected wait for a permit; 0 if nothing is known. */
  expectedWaitMs(endpoint: string): number {
    return this.waits.shortestMs(endpoint, this.owners(endpoint));
  }

  /** Asks the owners of an endpoint's limit, those with the shortest expected wait first. */
  async acquire(request: PermitClientRequest): Promise<Permit> {
    const { endpoint, maximumWaitMs } = request;
    const owners = this.owners(endpoint);
    const candidates = owners
      .map((owner, rank) => ({ owner, rank, costMs: this.costMs(endpoint, owner) }))
      .filter(({ owner, costMs }) => {
        const isReachable = Number.isFinite(costMs);
        return isReachable && this.waits.expectedMs(endpoint, owner.id) <= maximumWaitMs;
      })
      .sort((a, b) => a.costMs - b.costMs);
    let permit: Permit = {
      outcome: owners.some((owner) => this.isReachable(owner)) ? 'denied' : 'unavailable',
      waitMs: this.expectedWaitMs(endpoint),
      limit: undefined,
    };
    for (const { owner, rank } of candidates) {
      permit = await this.ask(owner, { ...request, owners: owners.length, rank });
      if (permit.outcome === 'granted') return permit;
    }
    return permit;
  }

  /** Tells the owners of an endpoint's limit that it has ended. */
  reportEnd(endpoint: string, limit: RateLimit): void {
    this.owners(endpoint).forEach((owner) => {
      const value = { endpoint, limit: toRateLimitMessage(limit, this.clock.now()) };
      // Not repeated: every process that gets an answer without a limit observes the end as well.
      this.call(owner, endpoint, { case: 'reportRateLimit', value });
    });
  }

  private owners(endpoint: string): Keeper[] {
    const { roster } = this.keepers;
    const hasKeepers = roster !== undefined && activeKeepers(roster).length > 0;
    return hasKeepers ? this.keepers.groupOf(endpoint) : [];
  }

  private async call(
    owner: Keeper,
    endpoint: string,
    body: RequestBody,
  ): Promise<Reply | undefined> {
    try {
      return await this.keepers.callKeeper(owner, body, PERMIT_TIMEOUT_MS);
    } catch (error) {
      this.log.write('permitFailed', { keeper: owner.id, endpoint, error: String(error) });
      return undefined;
    }
  }

  private isReachable(owner: Keeper): boolean {
    return Number.isFinite(this.keepers.expectedMs(owner));
  }

  private costMs(endpoint: string, owner: Keeper): number {
    return this.waits.expectedMs(endpoint, owner.id) + this.keepers.expectedMs(owner);
  }

  private async ask(
    owner: Keeper,
    { endpoint, limit, owners, rank, maximumWaitMs }: OwnerRequest,
  ): Promise<Permit> {
    const rosterVersion = this.keepers.roster?.version ?? 0;
    const message = toRateLimitMessage(limit, this.clock.now());
    const value = { rosterVersion, endpoint, limit: message, owners, rank, maximumWaitMs };
    const reply = await this.call(owner, endpoint, { case: 'acquirePermit', value });
    if (reply?.body.case !== 'permit') return UNAVAILABLE;
    const { granted, waitMs, nextWaitMs, limit: newest } = reply.body.value;
    this.waits.record(endpoint, owner.id, nextWaitMs);
    return {
      outcome: granted ? 'granted' : 'denied',
      waitMs,
      limit: fromRateLimitMessage(newest, this.clock.now()),
    };
  }
}
