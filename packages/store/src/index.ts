/** Interface and clients of the platform's key-value store. */
export * from './decodeValue';
export * from './endpointKeys';
export * from './exchangeJson';
export * from './httpKeyValueStore';
export * from './keyValueStore';
export * from './memoryKeyValueStore';
export * from './compareAndSwapWithReadBack';
export * from './readTime';
export * from './watchedPrefix';
