/** When the owners of an account's allowance have tokens again, from their replies. */
export class OwnerCapacity {
  private readonly availableAtMs = new Map<string, number>();

  /** Versions of the limit and of the roster for which the replies hold. */
  private versions = '';

  /** Forgets the replies if they were given for another limit or roster. */
  update(limitVersion: number, rosterVersion: number): void {
    const versions = `${limitVersion} ${rosterVersion}`;
    if (versions === this.versions) return;
    this.versions = versions;
    this.availableAtMs.clear();
  }

  /** Records that an owner has no tokens for some time. */
  record(keeper: string, untilMs: number): void {
    this.availableAtMs.set(keeper, untilMs);
  }

  /** Returns the time until an owner has tokens; 0 if it is not known to lack them. */
  waitMs(keeper: string, nowMs: number): number {
    return Math.max(0, (this.availableAtMs.get(keeper) ?? 0) - nowMs);
  }
}
