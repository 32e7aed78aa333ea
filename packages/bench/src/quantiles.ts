/** Returns a quantile of the samples, by the nearest rank. */
export function quantile(samples: number[], share: number): number {
  const sorted = [...samples].sort((a, b) => a - b);
  const rank = Math.max(0, Math.ceil(sorted.length * share) - 1);
  return sorted[rank] ?? NaN;
}

/** Returns the arithmetic mean. */
export function mean(samples: number[]): number {
  return samples.reduce((sum, sample) => sum + sample, 0) / Math.max(1, samples.length);
}
