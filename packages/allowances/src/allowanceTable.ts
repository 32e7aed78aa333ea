import type { AccountLimit, Clock } from '@marjorampin/types';
import { type BucketLimit, TokenBucket } from './tokenBucket';

const MS_PER_SECOND = 1_000;
/** Number of accounts whose buckets are kept. */
const MAXIMUM_ACCOUNTS = 100_000;
/** Smallest capacity of an owner's part: without a whole token, it would never grant one. */
const MINIMUM_CAPACITY = 1;
/** Time of its rate that a part accumulates at least, as a share of the lease time: what the leases leave of
 * the tolerated excess. With less, tokens are lost between two requests of entries. */
const MINIMUM_FILL_SHARE = 0.25;
/** Periods of grants in the lease time: tokens are taken back for three of them at least, for four at most. */
const PERIODS_PER_LEASE = 4;
/** Bound of the random first number of periods; sums with the index of a period stay exact. */
const MAXIMUM_FIRST_PERIOD = 2 ** 50;

/** The part of an allowance that a keeper owns under its roster. */
export interface OwnedPart {
  /** Number of keepers that share the allowance, each with an equal part of it. */
  owners: number;
  /** Time from which the keeper has owned the part without a break; may be in the future. */
  sinceMs: number;
  /** Time at which the part may change. */
  validUntilMs: number;
}

/** Request for tokens of an account. */
export interface AllowanceRequest {
  account: string;
  limit: AccountLimit;
  /** Version of the configuration that states the limit. */
  limitVersion: number;
  /** Number of owners that the requester knows. */
  owners: number;
  tokens: number;
  /** Unused tokens of a grant, and the period that was stated with it. */
  returned: number;
  returnedPeriod: number;
}

/** Decision on a request for tokens. */
export interface AllowanceGrant {
  granted: number;
  /** Time after which the requester should ask again if it got fewer tokens than it asked for. */
  waitMs: number;
  /** Identifies the grant, for the return of its tokens. */
  period: number;
}

interface OwnedAllowance {
  bucket: TokenBucket;
  limit: AccountLimit;
  limitVersion: number;
  part: OwnedPart;
  rosterVersion: number;
}

/** Options of `AllowanceTable`. */
export interface AllowanceTableOptions {
  clock: Clock;
  /** Time for which entries may spend granted tokens. */
  leaseMs: number;
  /** Tokens of an account that all parts together hold besides the burst. */
  toleratedTokens?: number | undefined;
  maximumAccounts?: number;
  /** Number of the first period; random by default, so that grants before a restart are not confused with
   * later ones. */
  firstPeriod?: number;
  /** Returns the part of an account's allowance that this keeper owns, undefined if it owns none. */
  partOf(account: string): OwnedPart | undefined;
}

/**
 * Grants tokens of this keeper's parts of the allowances of client accounts. Nothing is stored: after a
 * restart, buckets are empty.
 */
export class AllowanceTable {
  private readonly options: AllowanceTableOptions;

  private readonly periodMs: number;

  private readonly firstPeriod: number;

  private readonly maximumAccounts: number;

  /** Least recently used accounts first. */
  private readonly owned = new Map<string, OwnedAllowance>();

  /** Time of the last removal of a bucket that was not full. */
  private forgottenAtMs = -Infinity;

  private grantedTokens = 0;

  constructor(options: AllowanceTableOptions) {
    this.options = options;
    this.periodMs = options.leaseMs / PERIODS_PER_LEASE;
    this.firstPeriod = options.firstPeriod ?? 1 + Math.floor(Math.random() * MAXIMUM_FIRST_PERIOD);
    this.maximumAccounts = options.maximumAccounts ?? MAXIMUM_ACCOUNTS;
  }

  /** Number of accounts with a bucket. */
  get size(): number {
    return this.owned.size;
  }

  /** Number of tokens granted so far. */
  get granted(): number {
    return this.grantedTokens;
  }

  /** Decides on a request under a roster; undefined if this keeper owns no part of the allowance. */
  acquire(request: AllowanceRequest, rosterVersion: number): AllowanceGrant | undefined {
    const nowMs = this.options.clock.now();
    const owned = this.use(request, rosterVersion, nowMs);
    if (!owned) return undefined;
    const { bucket } = owned;
    const { tokens, returned, returnedPeriod } = request;
    if (returned > 0) bucket.giveBack(returned, returnedPeriod - this.firstPeriod, nowMs);
    const granted = bucket.take(tokens, nowMs);
    this.grantedTokens += granted;
    const missing = tokens - granted;
    const waitMs = missing > 0 ? bucket.waitMs(missing, nowMs) : 0;
    return { granted, waitMs, period: this.firstPeriod + bucket.period };
  }

  private use(
    request: AllowanceRequest,
    rosterVersion: number,
    nowMs: number,
  ): OwnedAllowance | undefined {
    const { account } = request;
    const known = this.owned.get(account);
    const isCurrent = known?.rosterVersion === rosterVersion && nowMs < known.part.validUntilMs;
    const part = isCurrent ? known.part : this.options.partOf(account);
    this.owned.delete(account);
    if (!part) return undefined;
    // After a time in which this keeper was no owner, the bucket begins empty.
    const isContinued = known !== undefined && known.part.sinceMs >= part.sinceMs;
    const owned = isContinued ? known : this.create(request, part);
    owned.part = part;
    owned.rosterVersion = rosterVersion;
    if (request.limitVersion >= owned.limitVersion) {
      owned.limit = request.limit;
      owned.limitVersion = request.limitVersion;
    }
    const owners = Math.max(part.owners, request.owners);
    owned.bucket.setLimit(this.limitOfPart(owned.limit, owners), nowMs);
    this.owned.set(account, owned);
    this.evict(nowMs);
    return owned;
  }

  private create({ limit, limitVersion, owners }: AllowanceRequest, part: OwnedPart) {
    // An account that was never asked for since has spent nothing since.
    const sinceMs = Math.max(part.sinceMs, this.forgottenAtMs);
    const { periodMs } = this;
    const bucketLimit = this.limitOfPart(limit, Math.max(owners, part.owners));
    const bucket = new TokenBucket({ limit: bucketLimit, sinceMs, periodMs });
    return { bucket, limit, limitVersion, part, rosterVersion: -1 };
  }

  private evict(nowMs: number): void {
    if (this.owned.size <= this.maximumAccounts) return;
    const [oldest] = this.owned;
    if (!oldest) return;
    const [account, { bucket }] = oldest;
    this.owned.delete(account);
    // A full bucket is created full again.
    if (!bucket.isFull(nowMs)) this.forgottenAtMs = nowMs;
  }

  private limitOfPart({ perSecond, burst }: AccountLimit, owners: number): BucketLimit {
    const { leaseMs, toleratedTokens = 0 } = this.options;
    const ownPerSecond = perSecond / owners;
    const minimumFill = (ownPerSecond * leaseMs * MINIMUM_FILL_SHARE) / MS_PER_SECOND;
    const capacity = Math.max(MINIMUM_CAPACITY, (burst + toleratedTokens) / owners, minimumFill);
    return { perSecond: ownPerSecond, capacity };
  }
}
