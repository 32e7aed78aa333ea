/** A client for agent programs. */
export * from './callerClient';
export * from './programClient';
