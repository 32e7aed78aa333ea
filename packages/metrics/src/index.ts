/** Counters and latencies of one process, in the usual text format. */
export * from './metrics';
