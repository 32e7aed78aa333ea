/** HTTP client of the entries, for callers that run programs. */
export * from './callerClient';
export * from './programClient';
