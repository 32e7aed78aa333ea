import type { Metrics } from '@marjorampin/metrics';
import type { GrantingKeepers, Keeper } from '@marjorampin/protocol';
import { type AccountLimit, type ClientAccount, type Clock, instantOf } from '@marjorampin/types';
import { AccountDemand } from './accountDemand';
import { allowanceExceeded, ownersUnavailable } from './allowanceErrors';
import type { AllowanceToken, TokenSource } from './callAllowance';
import { HeldLeases } from './heldLeases';
import { Lease } from './lease';
import { OwnerCapacity } from './ownerCapacity';
import type { OwnerCalls } from './ownerCalls';

/** An owner is avoided if its reply is expected later than this multiple of the shortest time, and the time
 * that another failure domain adds. */
const SLOW_FACTOR = 2;
const OTHER_DOMAIN_MS = 10;
/** Requests that may wait for replies even if the allowance is smaller. */
const MINIMUM_WAITING = 16;

/** A client account that has a limit. */
export interface LimitedAccount extends ClientAccount {
  limit: AccountLimit;
}

/** A request that waits for a token. */
interface WaitingRequest {
  remainingMs: number;
  resolve(token: AllowanceToken): void;
  reject(error: unknown): void;
}

/** Options of `AccountTokens`. */
export interface AccountTokensOptions {
  keepers: GrantingKeepers;
  calls: OwnerCalls;
  clock: Clock;
  metrics: Metrics;
  /** Time for which granted tokens may be spent. */
  leaseMs: number;
}

/**
 * Tokens of one account at this entry. One request to an owner is under way at a time; the calls that
 * arrive meanwhile share its reply.
 */
export class AccountTokens implements TokenSource {
  private readonly options: AccountTokensOptions;

  private account: LimitedAccount;

  private limitVersion: number;

  private owners: Keeper[] = [];

  private rosterVersion = -1;

  private readonly demand = new AccountDemand();

  private readonly capacity = new OwnerCapacity();

  private leases = this.createLeases();

  private waiting: WaitingRequest[] = [];

  private isAsking = false;

  constructor(options: AccountTokensOptions, account: LimitedAccount, limitVersion: number) {
    this.options = options;
    this.account = account;
    this.limitVersion = limitVersion;
  }

  /** Uses the limit of a newer configuration. */
  update(account: LimitedAccount, limitVersion: number): void {
    if (limitVersion <= this.limitVersion) return;
    // More tokens may have been granted under the former limit than the new one allows.
    if (!isSameLimit(this.account.limit, account.limit)) this.leases = this.createLeases();
    this.account = account;
    this.limitVersion = limitVersion;
  }

  /** Takes a token; asks the owners for tokens if none is left. */
  take(remainingMs: number): Promise<AllowanceToken> {
    this.demand.record(this.options.clock.now());
    const lease = this.leases.take();
    if (lease) {
      this.exchangeDue();
      return Promise.resolve(this.tokenOf(lease));
    }
    if (!this.isAsking && !this.nextOwner()) return Promise.reject(this.refusal(remainingMs));
    if (this.waiting.length >= this.maximumWaiting) {
      return Promise.reject(this.exceeded(remainingMs));
    }
    return new Promise((resolve, reject) => {
      this.waiting.push({ remainingMs, resolve, reject });
      if (!this.isAsking) this.askForWaiting();
    });
  }

  /** More requests than these certainly exceed the allowance. */
  private get maximumWaiting(): number {
    const { perSecond, burst } = this.account.limit;
    return Math.max(MINIMUM_WAITING, Math.ceil(perSecond + burst));
  }

  private async askForWaiting(): Promise<void> {
    this.isAsking = true;
    while (this.waiting.length > 0) {
      const owner = this.nextOwner();
      if (owner) await this.ask(owner);
      else this.refuseWaiting();
      this.serveWaiting();
    }
    this.isAsking = false;
  }

  /** Exchanges tokens that would soon be lost for new ones of the same owner. */
  private async exchangeDue(): Promise<void> {
    const lease = this.isAsking ? undefined : this.leases.findDue();
    const owner = lease && this.usableOwners().find(({ id }) => id === lease.keeper);
    if (!lease || !owner) return;
    this.isAsking = true;
    await this.ask(owner, lease);
    this.serveWaiting();
    await this.askForWaiting();
  }

  private async ask(owner: Keeper, returnedLease?: Lease): Promise<void> {
    const { calls, keepers, clock, leaseMs } = this.options;
    const { name, limit } = this.account;
    const { limitVersion } = this;
    const returned = returnedLease ? this.leases.withdraw(returnedLease) : 0;
    const tokens = this.demand.tokensFor(this.waiting.length, clock.now());
    const { rosterVersion } = this;
    const value = {
      rosterVersion,
      account: name,
      ...limit,
      limitVersion,
      owners: this.owners.length,
      rank: this.owners.indexOf(owner),
      tokens,
      returned,
      returnedPeriod: returned > 0 ? returnedLease?.period : 0,
    };
    const sentAt = instantOf(clock);
    this.options.metrics.count('allowance_messages_total');
    this.count('returned', returned);
    const reply = await calls.call(owner, name, { case: 'acquireAllowance', value });
    if (!reply) return;
    if (reply.body.case !== 'allowance') {
      const hasNewer = (keepers.roster?.version ?? 0) > rosterVersion;
      if (!hasNewer) calls.exclude(owner, name, `unexpected reply ${reply.body.case ?? 'empty'}`);
      return;
    }
    const { granted, waitMs, period } = reply.body.value;
    this.count('granted', granted);
    if (!isSameLimit(limit, this.account.limit)) return;
    const { id: keeper } = owner;
    this.leases.add(
      new Lease({ clock, keeper, period, tokens: granted, sentAt, validMs: leaseMs }),
    );
    if (granted < tokens) this.capacity.record(keeper, clock.now() + Math.max(1, waitMs));
  }

  /**
   * Returns an owner to ask. Answers steady demand below the limit: it is spread over the owners, as each
   * has only a part of the allowance. Owners that are expected to reply much later are avoided.
   */
  private nextOwner(): Keeper | undefined {
    const { calls } = this.options;
    const usable = this.usableOwners();
    if (usable.length <= 1) return usable[0];
    const shortestMs = Math.min(...usable.map((owner) => calls.expectedMs(owner)));
    const longestMs = shortestMs * SLOW_FACTOR + OTHER_DOMAIN_MS;
    const prompt = usable.filter((owner) => calls.expectedMs(owner) <= longestMs);
    return prompt[Math.floor(Math.random() * prompt.length)];
  }

  /** Returns the owners that can be reached and are not known to lack tokens. */
  private usableOwners(): Keeper[] {
    const nowMs = this.options.clock.now();
    return this.reachableOwners().filter(({ id }) => this.capacity.waitMs(id, nowMs) === 0);
  }

  private reachableOwners(): Keeper[] {
    const { keepers, calls } = this.options;
    const version = keepers.roster?.version ?? -1;
    if (version !== this.rosterVersion) {
      this.owners = keepers.ownersOf(`account:${this.account.name}`);
      this.rosterVersion = version;
    }
    this.capacity.update(this.limitVersion, version);
    return this.owners.filter((owner) => Number.isFinite(calls.expectedMs(owner)));
  }

  private serveWaiting(): void {
    while (this.waiting.length > 0) {
      const lease = this.leases.take();
      if (!lease) return;
      this.waiting.shift()?.resolve(this.tokenOf(lease));
    }
  }

  private refuseWaiting(): void {
    const refused = this.waiting;
    this.waiting = [];
    refused.forEach(({ remainingMs, reject }) => reject(this.refusal(remainingMs)));
  }

  private refusal(remainingMs: number): Error {
    if (this.reachableOwners().length > 0) return this.exceeded(remainingMs);
    return ownersUnavailable(this.account, remainingMs);
  }

  private exceeded(remainingMs: number): Error {
    const nowMs = this.options.clock.now();
    const waits = this.reachableOwners().map(({ id }) => this.capacity.waitMs(id, nowMs));
    const waitMs = waits.length > 0 ? Math.min(...waits) : 0;
    return allowanceExceeded(this.account, { waitMs, remainingMs, random: Math.random() });
  }

  private createLeases(): HeldLeases {
    return new HeldLeases((tokens) => this.count('expired', tokens));
  }

  private tokenOf(lease: Lease): AllowanceToken {
    const { leases } = this;
    return { giveBack: () => leases.giveBack(lease) };
  }

  private count(kind: 'granted' | 'returned' | 'expired', tokens: number): void {
    if (tokens > 0) this.options.metrics.count('allowance_tokens_total', { kind }, tokens);
  }
}

function isSameLimit(one: AccountLimit, other: AccountLimit): boolean {
  return one.perSecond === other.perSecond && one.burst === other.burst;
}
