/** HTTP gateway: forwards callers' requests to endpoints. */
export type { ConnectionSharing } from './callerServer';
export * from './afterPoll';
export * from './headerCodec';
export * from './endpointChoice';
export * from './endpointExchange';
export * from './eventReader';
export * from './gateway';
export * from './rawHeaders';
