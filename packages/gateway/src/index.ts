/** Takes callers' requests and forwards them to endpoints. */
export * from './dialect';
export * from './endpointChoice';
export * from './endpointExchange';
export * from './eventReader';
export * from './gateway';
export * from './rawHeaders';
