/** Counters, latencies and service-level burn of one process. */
export * from './burnRecorder';
export * from './burnReport';
export * from './metrics';
