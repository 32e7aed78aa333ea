/** Clients of the platform's services. */
export * from './endpointKeys';
export * from './exchangeJson';
export * from './httpKeyValueStore';
export * from './keyValueStore';
export * from './memoryKeyValueStore';
export * from './swapDurably';
export * from './watchedPrefix';
