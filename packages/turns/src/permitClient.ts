import type { EventLog } from '@marjorampin/logging';
import type { GrantingKeepers, Keeper, Reply, RequestBody } from '@marjorampin/protocol';
import type { RateLimit } from '@marjorampin/routing';
import type { Clock } from '@marjorampin/types';
import { OwnerWaits } from './ownerWaits';
import { fromRateLimitMessage, toRateLimitMessage } from './rateLimitMessage';

/** Time after which another keeper is asked; several round trips between failure domains. A keeper
 * counts as unresponsive only later, as it may be busy. */
const PERMIT_TIMEOUT_MS = 300;
/** Time for which a keeper that did not reply in time is not asked for permits. */
const SILENCE_EXCLUSION_MS = 1_000;

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
  keepers: GrantingKeepers;
  clock: Clock;
  log: EventLog;
}

/**
 * Acquires permits for requests to rate-limited endpoints. A few keepers, the same for all processes,
 * share the limit of an endpoint in equal parts: together they never grant more than the limit, also
 * while some of them are unreachable or don't know of each other.
 */
export class PermitClient {
  private readonly keepers: GrantingKeepers;

  private readonly clock: Clock;

  private readonly log: EventLog;

  private readonly waits: OwnerWaits;

  private readonly excludedUntilMs = new Map<string, number>();

  constructor({ keepers, clock, log }: PermitClientOptions) {
    this.keepers = keepers;
    this.clock = clock;
    this.log = log;
    this.waits = new OwnerWaits({ clock });
  }

  /** Returns the expected wait for a permit; 0 if nothing is known. */
  expectedWaitMs(endpoint: string): number {
    return this.waits.shortestMs(endpoint, this.keepers.ownersOf(endpoint));
  }

  /** Asks the owners of an endpoint's limit, those with the shortest expected wait first. */
  async acquire(request: PermitClientRequest): Promise<Permit> {
    const { endpoint, maximumWaitMs } = request;
    const owners = this.keepers.ownersOf(endpoint);
    const reachable = owners
      .map((owner, rank) => ({ owner, rank, costMs: this.costMs(endpoint, owner) }))
      .filter(({ costMs }) => Number.isFinite(costMs));
    const candidates = reachable
      .filter(({ owner }) => this.waits.expectedMs(endpoint, owner.id) <= maximumWaitMs)
      .sort((a, b) => a.costMs - b.costMs);
    let permit: Permit = {
      outcome: reachable.length > 0 ? 'denied' : 'unavailable',
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
    this.keepers.ownersOf(endpoint).forEach((owner) => {
      const value = { endpoint, limit: toRateLimitMessage(limit, this.clock.now()) };
      // Not repeated: every process that gets an answer without a limit observes the end as well.
      this.call(owner, endpoint, { case: 'reportRateLimit', value });
    });
  }

  private async call(
    owner: Keeper,
    endpoint: string,
    body: RequestBody,
  ): Promise<Reply | undefined> {
    const isReplied = new AbortController();
    try {
      const reply = await Promise.race([
        this.keepers.callKeeper(owner, body),
        this.clock.sleep(PERMIT_TIMEOUT_MS, isReplied.signal),
      ]);
      if (reply) return reply;
      throw new Error(`no reply within ${PERMIT_TIMEOUT_MS} ms`);
    } catch (error) {
      this.excludedUntilMs.set(owner.id, this.clock.now() + SILENCE_EXCLUSION_MS);
      this.log.write('permitFailed', { keeper: owner.id, endpoint, error: String(error) });
      return undefined;
    } finally {
      isReplied.abort();
    }
  }

  private isExcluded({ id }: Keeper): boolean {
    return (this.excludedUntilMs.get(id) ?? 0) > this.clock.now();
  }

  /** Returns the expected time until a permit of an owner can be used; infinite if it is silent. */
  private costMs(endpoint: string, owner: Keeper): number {
    const replyMs = this.isExcluded(owner) ? Infinity : this.keepers.expectedMs(owner);
    return this.waits.expectedMs(endpoint, owner.id) + replyMs;
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
