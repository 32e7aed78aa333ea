/** Returns a quantile of the samples by the nearest-rank method; NaN when there are none. */
export function quantile(samples: number[], fraction: number): number {
  const sorted = [...samples].sort((a, b) => a - b);
  const rank = Math.max(0, Math.ceil(sorted.length * fraction) - 1);
  return sorted[rank] ?? NaN;
}

/** Returns the arithmetic mean; 0 when there are no samples. */
export function mean(samples: number[]): number {
  return samples.reduce((sum, sample) => sum + sample, 0) / Math.max(1, samples.length);
}
