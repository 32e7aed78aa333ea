/** Label of the accounts that have none of their own. */
const OTHER = 'other';
const DEFAULT_LIMIT = 64;

/** Metric labels of accounts: the first ones have their own label, all others share one, so that metrics
 * stay bounded for any number of accounts. */
export class AccountLabels {
  private readonly limit: number;

  private readonly names = new Set<string>();

  constructor({ limit = DEFAULT_LIMIT }: { limit?: number } = {}) {
    this.limit = limit;
  }

  /** Returns the label of an account; empty if the account is not known. */
  labelOf(name: string | undefined): string {
    if (name === undefined || this.names.has(name)) return name ?? '';
    if (this.names.size >= this.limit) return OTHER;
    this.names.add(name);
    return name;
  }
}
