/** Contracts and services: their shapes, where they are kept, and the view of each process. */
export * from './configurationKeys';
export * from './configurationSchema';
export * from './configurationView';
export * from './configurationWriter';
