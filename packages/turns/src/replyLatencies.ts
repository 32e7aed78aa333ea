import type { Clock } from '@marjorampin/types';

/** Weight of a new latency in the smoothed one. */
const SAMPLE_WEIGHT = 0.3;
/** Time in which the difference to the usual latency halves, so that a slow peer is tried again. */
const HALF_LIFE_MS = 2_000;

interface Latency {
  smoothedMs: number;
  recordedAtMs: number;
}

/**
 * Smoothed reply latencies of peers. Answers the load of a process that just started or runs on a
 * slow host: it replies, but much later than others.
 */
export class ReplyLatencies {
  private readonly clock: Clock;

  private readonly latencies = new Map<string, Latency>();

  constructor({ clock }: { clock: Clock }) {
    this.clock = clock;
  }

  /** Records the latency of a reply in milliseconds. */
  record(id: string, latencyMs: number): void {
    const previousMs = this.latencies.get(id)?.smoothedMs ?? latencyMs;
    const smoothedMs = previousMs + (latencyMs - previousMs) * SAMPLE_WEIGHT;
    this.latencies.set(id, { smoothedMs, recordedAtMs: this.clock.now() });
  }

  /** Returns the expected latency, which approaches `usualMs` when nothing is recorded. */
  expectedMs(id: string, usualMs: number): number {
    const latency = this.latencies.get(id);
    if (!latency) return usualMs;
    const ageMs = this.clock.now() - latency.recordedAtMs;
    return usualMs + (latency.smoothedMs - usualMs) * 0.5 ** (ageMs / HALF_LIFE_MS);
  }

  /** Forgets a peer that no longer exists. */
  forget(id: string): void {
    this.latencies.delete(id);
  }
}
