/** Counters, gauges and latencies of a process, and the burn of error budgets. */
export * from './burnRecorder';
export * from './burnReport';
export * from './metrics';
