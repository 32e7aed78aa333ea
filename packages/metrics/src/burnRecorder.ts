const MINUTE_MS = 60_000;
const HOUR_MS = 3_600_000;

/** Windows over which the burn of error budgets is reported. */
export const BURN_WINDOWS = [
  { name: '5 min', lengthMs: 5 * MINUTE_MS },
  { name: '1 h', lengthMs: HOUR_MS },
  { name: '6 h', lengthMs: 6 * HOUR_MS },
  { name: '3 d', lengthMs: 72 * HOUR_MS },
] as const;

/** The longest window that minute buckets cover; longer ones are counted in hour buckets. */
const MINUTE_BUCKET_RETENTION_MS = 6 * HOUR_MS;
/** The longest window and one more bucket. */
const HOUR_BUCKET_RETENTION_MS = 73 * HOUR_MS;

/** Number of calls of a customer in one window. */
export interface WindowCount {
  window: string;
  total: number;
  bad: number;
  /** Number of bad calls by cause. */
  causes: Record<string, number>;
}

/** Counts of one customer in one process, in all windows. */
export interface BurnCount {
  customer: string;
  windows: WindowCount[];
}

interface Bucket {
  startMs: number;
  total: number;
  causes: Map<string, number>;
}

interface Buckets {
  minutes: Bucket[];
  hours: Bucket[];
}

/** Counts the good and bad calls of each customer in buckets of a minute and of an hour. */
export class BurnRecorder {
  private readonly customers = new Map<string, Buckets>();

  /** Counts one call; `cause` is empty for a good call. */
  record(customer: string, cause: string, nowMs: number): void {
    const buckets = this.customers.get(customer) ?? { minutes: [], hours: [] };
    this.customers.set(customer, buckets);
    countInBucket(buckets.minutes, MINUTE_MS, MINUTE_BUCKET_RETENTION_MS, cause, nowMs);
    countInBucket(buckets.hours, HOUR_MS, HOUR_BUCKET_RETENTION_MS, cause, nowMs);
  }

  /** Returns the counts of all customers and windows. */
  counts(nowMs: number): BurnCount[] {
    return [...this.customers].map(([customer, { minutes, hours }]) => ({
      customer,
      windows: BURN_WINDOWS.map(({ name, lengthMs }) => {
        const buckets = lengthMs <= MINUTE_BUCKET_RETENTION_MS ? minutes : hours;
        return sumBuckets(
          name,
          buckets.filter(({ startMs }) => startMs > nowMs - lengthMs),
        );
      }),
    }));
  }
}

function countInBucket(
  buckets: Bucket[],
  lengthMs: number,
  retentionMs: number,
  cause: string,
  nowMs: number,
): void {
  const startMs = Math.floor(nowMs / lengthMs) * lengthMs;
  while (buckets[0] && buckets[0].startMs < nowMs - retentionMs) buckets.shift();
  const last = buckets.at(-1);
  const bucket = last?.startMs === startMs ? last : { startMs, total: 0, causes: new Map() };
  if (bucket !== last) buckets.push(bucket);
  bucket.total += 1;
  if (cause !== '') bucket.causes.set(cause, (bucket.causes.get(cause) ?? 0) + 1);
}

function sumBuckets(window: string, buckets: Bucket[]): WindowCount {
  const causes: Record<string, number> = {};
  let total = 0;
  let bad = 0;
  buckets.forEach((bucket) => {
    total += bucket.total;
    bucket.causes.forEach((count, cause) => {
      causes[cause] = (causes[cause] ?? 0) + count;
      bad += count;
    });
  });
  return { window, total, bad, causes };
}
