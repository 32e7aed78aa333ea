/** Contracts, services and sealing keys: schemas, store keys, and reading and writing them. */
export * from './configurationKeys';
export * from './configurationSchema';
export * from './configurationView';
export * from './configurationWriter';
