import type { Lease } from './lease';

/** Leases of one account with unused tokens, the oldest first. */
export class HeldLeases {
  private leases: Lease[] = [];

  private readonly onExpiry: (tokens: number) => void;

  /** `onExpiry` is called with the number of tokens that were lost with a lease. */
  constructor(onExpiry: (tokens: number) => void) {
    this.onExpiry = onExpiry;
  }

  /** Adds a lease. */
  add(lease: Lease): void {
    if (lease.unusedTokens > 0) this.leases.push(lease);
  }

  /** Takes a token of the lease that ends first; returns its lease, undefined if there is none. */
  take(): Lease | undefined {
    this.removeExpired();
    const [lease] = this.leases;
    if (!lease?.take()) return undefined;
    if (lease.unusedTokens === 0) this.leases.shift();
    return lease;
  }

  /** Adds a token that was taken from a lease but not spent; it is lost if the lease has ended. */
  giveBack(lease: Lease): void {
    if (!lease.isValid) {
      this.onExpiry(1);
      return;
    }
    lease.giveBack();
    if (!this.leases.includes(lease)) this.leases.unshift(lease);
  }

  /** Returns the first lease whose unused tokens should be exchanged. */
  findDue(): Lease | undefined {
    this.removeExpired();
    return this.leases.find((lease) => lease.isDue);
  }

  /** Removes a lease; returns its unused tokens. */
  withdraw(lease: Lease): number {
    this.leases = this.leases.filter((other) => other !== lease);
    return lease.withdraw();
  }

  private removeExpired(): void {
    while (this.leases[0] && !this.leases[0].isValid) {
      this.onExpiry(this.leases.shift()?.unusedTokens ?? 0);
    }
  }
}
